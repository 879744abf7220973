package org.cuminspur.router.internal.traffic;

/**
 * Tells how far a planned stop has come, and how many requests are in progress; thread-safe.
 *
 * <p>While it stops, the instance is not ready, serves on, and closes each connection after its answer.
 */
final class StopState {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private int inProgress;
    private long lastLeftNanos = System.nanoTime();
    private volatile boolean stopping;
    private volatile long unnoticedUntil = Long.MAX_VALUE;
    private volatile long endMillis = Long.MAX_VALUE;

    synchronized void entered() {
        inProgress++;
    }

    synchronized void left() {
        inProgress--;
        lastLeftNanos = System.nanoTime();
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

    /**
     * Waits until no request has been in progress for a while; returns how many still are.
     *
     * @param quietMillis covers requests on their way here and answers on their way to their callers
     */
    synchronized int awaitQuiet(long untilNanos, long quietMillis) throws InterruptedException {
        long quietSince = System.nanoTime();
        long now = quietSince;
        while (now < untilNanos && (inProgress > 0 || now - quietSince < quietMillis * NANOS_PER_MILLI)) {
            wait(Math.max(1, Math.min(quietMillis, (untilNanos - now) / NANOS_PER_MILLI)));
            now = System.nanoTime();
            if (inProgress > 0 || lastLeftNanos > quietSince) {
                quietSince = inProgress > 0 ? now : lastLeftNanos;
            }
        }
        return inProgress;
    }
}
