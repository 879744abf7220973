package org.cuminspur.standin.platform;

import java.util.concurrent.atomic.AtomicInteger;
import org.cuminspur.standin.ThreadGate;

/** The faults that {@link StandinPlatform} injects; thread-safe. */
public final class PlatformFaults {
    private final AtomicInteger repliesToLose = new AtomicInteger();
    private final ThreadGate replyGate = new ThreadGate();
    private volatile boolean outage;
    private volatile long delayMillis;
    private volatile long listLagMillis;

    /** Returns whether the store closes the connection of every call. */
    public boolean outage() {
        return outage;
    }

    public void outage(boolean on) {
        outage = on;
    }

    /** Returns the delay added to every call to the store. */
    public long delayMillis() {
        return delayMillis;
    }

    public void delayMillis(long millis) {
        delayMillis = millis;
    }

    /** Returns the age of the instance list that is served. */
    public long listLagMillis() {
        return listLagMillis;
    }

    public void listLagMillis(long millis) {
        listLagMillis = millis;
    }

    /** Returns the gate that, while closed, withholds the replies of reads and of writes that took effect. */
    public ThreadGate replyGate() {
        return replyGate;
    }

    /** Drops the replies of the next {@code writes} writes, after they took effect. */
    public void loseReplies(int writes) {
        repliesToLose.set(writes);
    }

    /** Consumes one reply loss, if any is left; returns whether to drop the reply. */
    boolean takeReplyLoss() {
        return repliesToLose.getAndUpdate(left -> Math.max(0, left - 1)) > 0;
    }
}
