package org.cuminspur.slo;

/** Good and bad requests of one period; immutable. */
public record Counts(long good, long bad) {
    /** No requests. */
    public static final Counts NONE = new Counts(0, 0);

    private static final double MIN_BUDGET = 1e-6;

    /** Returns the sum of both. */
    public Counts plus(Counts other) {
        return new Counts(good + other.good, bad + other.bad);
    }

    /** Returns how fast an error budget is used; 1 uses it up exactly, 0 is returned for no requests. */
    public double burn(double objectiveShare) {
        long all = good + bad;
        return all == 0 ? 0 : (double) bad / all / Math.max(1 - objectiveShare, MIN_BUDGET);
    }
}
