package org.cuminspur.router.internal.caller;

/**
 * Counts the requests in progress and closes in two steps at a planned stop.
 *
 * <p>Thread-safe. A request that entered is never cut by closing; after {@link #rejectNew} none enters.
 */
final class InFlightRequests {
    private int inProgress;
    private boolean draining;
    private boolean closed;

    /** Takes a request in; returns whether it may start. */
    synchronized boolean tryStart() {
        if (!closed) {
            inProgress++;
        }
        return !closed;
    }

    /** Ends a request that entered. */
    synchronized void finish() {
        inProgress--;
        notifyAll();
    }

    /** Returns whether connections are to be closed after their next answer. */
    synchronized boolean draining() {
        return draining;
    }

    /** Lets requests enter on, but no connection stay open after its answer. */
    synchronized void drain() {
        draining = true;
    }

    /** Lets no further request enter. */
    synchronized void rejectNew() {
        draining = true;
        closed = true;
    }

    /** Waits until no request is in progress; returns whether that came in time. */
    synchronized boolean awaitNone(long timeoutMillis) throws InterruptedException {
        long deadline = System.nanoTime() + timeoutMillis * 1_000_000;
        while (inProgress > 0) {
            long left = (deadline - System.nanoTime()) / 1_000_000;
            if (left <= 0) {
                return false;
            }
            wait(left);
        }
        return true;
    }
}
