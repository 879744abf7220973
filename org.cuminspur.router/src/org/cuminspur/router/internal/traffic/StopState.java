package org.cuminspur.router.internal.traffic;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * State of a planned stop and the requests in progress; thread-safe.
 *
 * <p>While stopping, the instance is unready, keeps serving and closes each connection after its response. A request is in
 * progress from its head to the last byte of its response, which a slow caller may take long to read.
 */
final class StopState {
    /** Time in which a response that is due at a deadline is written, with the time that it is waited for past it. */
    static final long ANSWER_MARGIN_MS = 300;

    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Ends what the requests wait for that have no whole answer yet. */
    private final Set<Runnable> unanswered = new LinkedHashSet<>();

    private int inProgress;
    private long lastEndedNanos = System.nanoTime();
    private volatile boolean stopping;
    private volatile boolean closed;
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

    /** Keeps the action that ends a request with an answer at the end of the stop, until {@link #answered}. */
    synchronized void unanswered(Runnable stopNow) {
        unanswered.add(stopNow);
    }

    synchronized void answered(Runnable stopNow) {
        unanswered.remove(stopNow);
    }

    /** Returns the actions that end the requests without a whole answer; to be run on the traffic thread. */
    synchronized List<Runnable> remaining() {
        return List.copyOf(unanswered);
    }

    /** Refuses all requests from now on: the process is about to end. */
    void close() {
        closed = true;
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
     * Returns whether a request is accepted; late in a stop, only if it is certain to end in time, and not at its end.
     *
     * @param deadlineMillis when its response must be complete
     */
    boolean accepts(long arrivedMillis, long deadlineMillis) {
        return !closed && (arrivedMillis < unreadyNoticedMillis || deadlineMillis + ANSWER_MARGIN_MS <= endMillis);
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
