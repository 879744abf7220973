package org.cuminspur.standin.users;

import java.util.concurrent.atomic.AtomicInteger;

/** The faults that a {@link StandinStore} is told to show; thread-safe. */
public final class StandinStoreFaults {
    /** How the store meets calls. */
    public enum Mode {
        /** It answers. */
        UP,
        /** It answers 503, and has done nothing. */
        REFUSING,
        /** It takes calls and never answers. */
        SILENT
    }

    private final AtomicInteger repliesToLose = new AtomicInteger();
    private volatile Mode mode = Mode.UP;
    private volatile long delayMillis;
    private volatile long compactedRevision;
    private volatile boolean silentWatches;

    /** Returns how calls are met. */
    public Mode mode() {
        return mode;
    }

    public void mode(Mode next) {
        mode = next;
    }

    /** Returns how long each call takes. */
    public long delayMillis() {
        return delayMillis;
    }

    public void delayMillis(long millis) {
        delayMillis = millis;
    }

    /** Loses the replies of the next writes, after they took effect. */
    public void loseReplies(int writes) {
        repliesToLose.set(writes);
    }

    /** Returns whether the reply of a write that took effect is to be lost. */
    boolean takeReplyLoss() {
        return repliesToLose.getAndUpdate(left -> Math.max(0, left - 1)) > 0;
    }

    /** Returns the oldest revision after which changes are still known. */
    long compactedRevision() {
        return compactedRevision;
    }

    /** Drops the changes up to a revision. */
    public void compactHistory(long revision) {
        compactedRevision = revision;
    }

    /** Returns whether watches hear nothing, though they do not break. */
    public boolean silentWatches() {
        return silentWatches;
    }

    public void silentWatches(boolean on) {
        silentWatches = on;
    }
}
