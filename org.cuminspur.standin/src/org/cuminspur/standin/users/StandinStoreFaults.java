package org.cuminspur.standin.users;

import java.util.concurrent.atomic.AtomicInteger;

/** The faults that a {@link StandinStore} injects; thread-safe. */
public final class StandinStoreFaults {
    /** How the store responds to calls. */
    public enum Mode {
        /** Answers normally. */
        UP,
        /** Answers 503 without executing the call. */
        REFUSING,
        /** Accepts calls and does not answer them. */
        SILENT
    }

    private final AtomicInteger repliesToLose = new AtomicInteger();
    private volatile Mode mode = Mode.UP;
    private volatile long delayMillis;
    private volatile long compactedRevision;
    private volatile boolean silentWatches;

    public Mode mode() {
        return mode;
    }

    public void mode(Mode next) {
        mode = next;
    }

    /** Returns the delay of each call. */
    public long delayMillis() {
        return delayMillis;
    }

    public void delayMillis(long millis) {
        delayMillis = millis;
    }

    /** Drops the replies of the next {@code writes} writes, after they took effect. */
    public void loseReplies(int writes) {
        repliesToLose.set(writes);
    }

    /** Consumes one reply loss, if any is left; returns whether to drop the reply. */
    boolean takeReplyLoss() {
        return repliesToLose.getAndUpdate(left -> Math.max(0, left - 1)) > 0;
    }

    /** Returns the oldest revision after which changes are still available. */
    long compactedRevision() {
        return compactedRevision;
    }

    /** Discards the changes up to a revision; watches from before it fail. */
    public void compactHistory(long revision) {
        compactedRevision = revision;
    }

    /** Returns whether watches deliver no changes, though they do not break. */
    public boolean silentWatches() {
        return silentWatches;
    }

    public void silentWatches(boolean on) {
        silentWatches = on;
    }
}
