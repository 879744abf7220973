package org.cuminspur.router.internal.caller;

/**
 * Counts the requests in progress and rejects new ones at a planned stop.
 *
 * <p>Thread-safe. Requests that have started are never aborted here; after {@link #rejectNew} none starts.
 */
final class InFlightRequests {
    private int inProgress;
    private boolean draining;
    private boolean rejecting;

    /** Counts a request as in progress, unless new ones are rejected; returns whether it may start. */
    synchronized boolean tryStart() {
        if (!rejecting) {
            inProgress++;
        }
        return !rejecting;
    }

    /** Ends a request that {@link #tryStart} admitted. */
    synchronized void finish() {
        inProgress--;
        notifyAll();
    }

    /** Returns whether connections must be closed after their next answer. */
    synchronized boolean draining() {
        return draining;
    }

    /** Keeps admitting requests, but lets no connection stay open after its answer. */
    synchronized void drain() {
        draining = true;
    }

    /** Rejects all further requests. */
    synchronized void rejectNew() {
        draining = true;
        rejecting = true;
    }

    /** Waits until no request is in progress; returns false on timeout. */
    synchronized boolean awaitNone(long timeoutMillis) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + timeoutMillis * 1_000_000;
        while (inProgress > 0) {
            long remainingMillis = (deadlineNanos - System.nanoTime()) / 1_000_000;
            if (remainingMillis <= 0) {
                return false;
            }
            wait(remainingMillis);
        }
        return true;
    }
}
