package org.cuminspur.router.internal.traffic;

/**
 * Tells how far a planned stop has come, and how many requests are in progress; thread-safe.
 *
 * <p>While it stops, the instance is not ready, serves on, and closes each connection after its answer.
 */
final class StopState {
    private int inProgress;
    private volatile boolean stopping;

    synchronized void entered() {
        inProgress++;
    }

    synchronized void left() {
        inProgress--;
        notifyAll();
    }

    boolean stopping() {
        return stopping;
    }

    void stop() {
        stopping = true;
    }

    /** Waits until no request is in progress; returns how many still are. */
    synchronized int awaitEmpty(long untilNanos) throws InterruptedException {
        long leftMillis = (untilNanos - System.nanoTime()) / 1_000_000;
        while (inProgress > 0 && leftMillis > 0) {
            wait(leftMillis);
            leftMillis = (untilNanos - System.nanoTime()) / 1_000_000;
        }
        return inProgress;
    }
}
