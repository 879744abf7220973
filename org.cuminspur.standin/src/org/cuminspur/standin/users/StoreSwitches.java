package org.cuminspur.standin.users;

import java.util.concurrent.atomic.AtomicInteger;

/** The faults that a {@link UsersStore} is told to show; thread-safe. */
public final class StoreSwitches {
    /** How the store meets calls. */
    public enum Mode {
        /** It answers. */
        UP,
        /** It answers 503, and has done nothing. */
        REFUSING,
        /** It takes calls and never answers. */
        SILENT
    }

    private final AtomicInteger lostReplies = new AtomicInteger();
    private volatile Mode mode = Mode.UP;
    private volatile long delayMillis;
    private volatile long historyFrom;
    private volatile boolean deafWatches;

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
        lostReplies.set(writes);
    }

    /** Returns whether the reply of a write that took effect is to be lost. */
    boolean losesReply() {
        return lostReplies.getAndUpdate(left -> Math.max(0, left - 1)) > 0;
    }

    /** Returns the oldest revision after which changes are still known. */
    long historyFrom() {
        return historyFrom;
    }

    /** Drops the changes up to a revision. */
    public void dropHistory(long revision) {
        historyFrom = revision;
    }

    /** Returns whether watches hear nothing, though they do not break. */
    public boolean deafWatches() {
        return deafWatches;
    }

    public void deafWatches(boolean on) {
        deafWatches = on;
    }
}
