package org.cuminspur.traffic;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Counts the requests that reach upstreams over the load bound, in sliding windows.
 *
 * <p>Not thread-safe. An upstream is over the bound if it holds more than the load factor times the mean of the
 * service plus {@link #LOAD_SLACK}. A window breaks the bound if {@link #MIN_OVER} or more of its requests, and more
 * than {@link #MAX_SHARE_OVER} of them, reach such upstreams.
 */
final class LoadBoundChecker {
    /** Requests that an upstream may hold above the load factor times the mean. */
    static final double LOAD_SLACK = 3;

    static final long WINDOW_MS = 5_000;
    static final int MIN_OVER = 20;
    static final double MAX_SHARE_OVER = 0.03;

    private record Arrival(long millis, boolean over) {}

    private final double loadFactor;
    private final Deque<Arrival> window = new ArrayDeque<>();
    private int over;
    private long firstMillis = Long.MAX_VALUE;
    private double worstShare;

    LoadBoundChecker(double loadFactor) {
        this.loadFactor = loadFactor;
    }

    /**
     * Records a request that reaches an upstream.
     *
     * @param held requests that the upstream holds before this one
     * @param mean mean number of requests that the service's upstreams hold
     */
    void recordArrival(int held, double mean, long nowMillis) {
        Arrival arrival = new Arrival(nowMillis, held > loadFactor * mean + LOAD_SLACK);
        firstMillis = Math.min(firstMillis, nowMillis);
        window.add(arrival);
        over += arrival.over() ? 1 : 0;
        while (window.element().millis() <= nowMillis - WINDOW_MS) {
            over -= window.remove().over() ? 1 : 0;
        }
        if (over >= MIN_OVER && nowMillis >= firstMillis + WINDOW_MS) {
            worstShare = Math.max(worstShare, (double) over / window.size());
        }
    }

    /** Forgets all requests recorded so far. */
    void reset() {
        window.clear();
        over = 0;
        firstMillis = Long.MAX_VALUE;
        worstShare = 0;
    }

    /** Returns the largest share of requests over the bound in any whole window with {@link #MIN_OVER} of them, or 0. */
    double worstShare() {
        return worstShare;
    }
}
