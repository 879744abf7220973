package org.cuminspur.ratelimit;

/**
 * Grants permits at a rate, with a bounded burst; not thread-safe.
 *
 * <p>Within any time, permits are at most the burst and the rate times that time, plus a small reserve for bound requests.
 */
final class PermitBucket {
    /** Least rate at which requests are sent to an upstream, by which the end of its limit is noticed. */
    private static final double MIN_REQUESTS_PER_SECOND = 0.5;

    /** Time in which a full bucket is filled at the rate. */
    private static final double BURST_SECONDS = 0.5;

    /** Permits that bound requests may take in advance. */
    private static final double BOUND_RESERVE = 2;

    private static final double SECOND_MS = 1_000;

    private double permits = 1;
    private long filledMillis;

    /** Creates a bucket with one permit, since another instance may have granted some just before. */
    PermitBucket(long nowMillis) {
        filledMillis = nowMillis;
    }

    /**
     * Takes a permit if there is one.
     *
     * @param bound whether one may be taken in advance
     */
    boolean tryTake(double requestsPerSecond, boolean bound, long nowMillis) {
        double rate = Math.max(MIN_REQUESTS_PER_SECOND, requestsPerSecond);
        permits = Math.min(burst(rate), permits + rate * (nowMillis - filledMillis) / SECOND_MS);
        filledMillis = nowMillis;
        if (permits < (bound ? 1 - BOUND_RESERVE : 1)) {
            return false;
        }
        permits--;
        return true;
    }

    /** Returns the time until the next permit, as of the last call of {@link #tryTake}. */
    long waitMillis(double requestsPerSecond) {
        double rate = Math.max(MIN_REQUESTS_PER_SECOND, requestsPerSecond);
        return (long) Math.ceil(Math.max(0, 1 - permits) / rate * SECOND_MS);
    }

    long filledMillis() {
        return filledMillis;
    }

    private static double burst(double requestsPerSecond) {
        return Math.max(1, BURST_SECONDS * requestsPerSecond);
    }
}
