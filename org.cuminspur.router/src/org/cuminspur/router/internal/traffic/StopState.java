package org.cuminspur.router.internal.traffic;

/**
 * Tells how far a planned stop has come, and how many requests are in progress; thread-safe.
 *
 * <p>While it stops, the instance is not ready, serves on, and closes each connection after its answer.
 */
final class StopState {
    private int inProgress;
    private volatile boolean stopping;
    private volatile long unnoticedUntil = Long.MAX_VALUE;
    private volatile long endMillis = Long.MAX_VALUE;

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

    /**
     * Begins the stop.
     *
     * @param unnoticedUntil when the balancer sends no more callers here
     * @param endMillis when requests still in progress are cut
     */
    void stop(long unnoticedUntil, long endMillis) {
        this.unnoticedUntil = unnoticedUntil;
        this.endMillis = endMillis;
        stopping = true;
    }

    /**
     * Returns whether a request is taken; one that comes late in a stop is taken only if it is sure to be finished.
     *
     * @param lastMillis when its answer must be whole
     */
    boolean takes(long arrivedMillis, long lastMillis) {
        return arrivedMillis < unnoticedUntil || lastMillis <= endMillis;
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
