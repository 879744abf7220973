package org.cuminspur.standin.platform;

import java.util.concurrent.atomic.AtomicInteger;
import org.cuminspur.standin.ThreadGate;

/** The faults that the stand-in platform is told to show; thread-safe. */
public final class PlatformFaults {
    private final AtomicInteger repliesToLose = new AtomicInteger();
    private final ThreadGate replyGate = new ThreadGate();
    private volatile boolean outage;
    private volatile long delayMillis;
    private volatile long listLagMillis;

    /** Returns whether the store refuses all calls. */
    public boolean outage() {
        return outage;
    }

    public void outage(boolean on) {
        outage = on;
    }

    /** Returns how long every call to the store takes. */
    public long delayMillis() {
        return delayMillis;
    }

    public void delayMillis(long millis) {
        delayMillis = millis;
    }

    /** Returns how old the instance list is. */
    public long listLagMillis() {
        return listLagMillis;
    }

    public void listLagMillis(long millis) {
        listLagMillis = millis;
    }

    /** Keeps back the replies of reads, and of writes that took effect, until it is turned off. */
    public ThreadGate replyGate() {
        return replyGate;
    }

    /** Loses the replies of the next writes, after they took effect. */
    public void loseReplies(int writes) {
        repliesToLose.set(writes);
    }

    /** Returns whether the reply of a write that took effect is to be lost. */
    boolean takeReplyLoss() {
        return repliesToLose.getAndUpdate(left -> Math.max(0, left - 1)) > 0;
    }
}
