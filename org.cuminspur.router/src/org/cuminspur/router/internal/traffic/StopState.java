package org.cuminspur.router.internal.traffic;

/**
 * State of a planned stop and the number of requests in progress; thread-safe.
 *
 * <p>While stopping, the instance is unready, keeps serving and closes each connection after its response.
 */
final class StopState {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private int inProgress;
    private long lastEndedNanos = System.nanoTime();
    private volatile boolean stopping;
    private volatile long unreadyNoticedMillis = Long.MAX_VALUE;
    private volatile long endMillis = Long.MAX_VALUE;

    synchronized void requestStarted() {
        inProgress++;
    }

    synchronized void requestEnded() {
        inProgress--;
        lastEndedNanos = System.nanoTime();
        notifyAll();
    }

    boolean stopping() {
        return stopping;
    }

    /**
     * Begins the stop.
     *
     * @param unreadyNoticedMillis when the load balancer sends no more callers to this instance
     * @param endMillis when requests still in progress are aborted
     */
    void stop(long unreadyNoticedMillis, long endMillis) {
        this.unreadyNoticedMillis = unreadyNoticedMillis;
        this.endMillis = endMillis;
        stopping = true;
    }

    /**
     * Returns whether a request is accepted; late in a stop, only if it is certain to end in time.
     *
     * @param deadlineMillis when its response must be complete
     */
    boolean accepts(long arrivedMillis, long deadlineMillis) {
        return arrivedMillis < unreadyNoticedMillis || deadlineMillis <= endMillis;
    }

    /**
     * Waits until no request has been in progress for a time; returns the number still in progress.
     *
     * @param idleMillis covers requests and responses that are in transit
     */
    synchronized int awaitIdle(long untilNanos, long idleMillis) throws InterruptedException {
        long idleSinceNanos = System.nanoTime();
        long now = idleSinceNanos;
        while (now < untilNanos && (inProgress > 0 || now - idleSinceNanos < idleMillis * NANOS_PER_MILLI)) {
            wait(Math.max(1, Math.min(idleMillis, (untilNanos - now) / NANOS_PER_MILLI)));
            now = System.nanoTime();
            if (inProgress > 0 || lastEndedNanos > idleSinceNanos) {
                idleSinceNanos = inProgress > 0 ? now : lastEndedNanos;
            }
        }
        return inProgress;
    }
}
