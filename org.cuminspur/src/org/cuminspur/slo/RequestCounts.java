package org.cuminspur.slo;

/** Good and bad requests of one period; immutable. */
public record RequestCounts(long good, long bad) {
    /** No requests. */
    public static final RequestCounts NONE = new RequestCounts(0, 0);

    private static final double MIN_BUDGET = 1e-6;

    /** Returns the sum of both. */
    public RequestCounts plus(RequestCounts other) {
        return new RequestCounts(good + other.good, bad + other.bad);
    }

    /** Returns the burn rate of the error budget; 1 uses it up exactly, 0 is returned for no requests. */
    public double burnRate(double targetShare) {
        long total = good + bad;
        return total == 0 ? 0 : (double) bad / total / Math.max(1 - targetShare, MIN_BUDGET);
    }
}
