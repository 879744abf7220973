package org.cuminspur.traffic;

/**
 * What one process of an upstream said of itself in its responses: that it leaves, and until when it wants no request.
 *
 * <p>Not thread-safe; confined to the traffic thread. It outlives the process's entry, which may lapse and come back.
 */
final class UpstreamWithdrawal {
    private boolean leaving;
    private long pausedUntilMillis = Long.MIN_VALUE / 2;

    /** Records that the process leaves; returns whether that is new. A process never takes it back. */
    boolean recordLeaving() {
        boolean first = !leaving;
        leaving = true;
        return first;
    }

    boolean isLeaving() {
        return leaving;
    }

    /** Records that it wants no request until a time; an earlier one does not shorten a later one. */
    void pauseUntil(long millis) {
        pausedUntilMillis = Math.max(pausedUntilMillis, millis);
    }

    long pausedUntilMillis() {
        return pausedUntilMillis;
    }
}
