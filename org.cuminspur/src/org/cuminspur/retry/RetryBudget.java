package org.cuminspur.retry;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Bounds retries to a share of successes, so that an outage does not multiply the load that caused it.
 *
 * <p>Thread-safe. Over any period, retries are at most {@link #MAX_RETRIES_SAVED} plus the retries earned by the
 * successes of the period.
 */
public final class RetryBudget implements RetryPermits {
    /** Default number of retries earned by one success. */
    public static final double RETRIES_PER_SUCCESS = 0.5;

    /** The most retries that can be saved up; a new budget holds as many. */
    public static final int MAX_RETRIES_SAVED = 10;

    private static final int UNITS_PER_RETRY = 1_000;
    private static final int MAX_UNITS = MAX_RETRIES_SAVED * UNITS_PER_RETRY;

    private final AtomicInteger units = new AtomicInteger(MAX_UNITS);
    private final int unitsPerSuccess;

    public RetryBudget() {
        this(RETRIES_PER_SUCCESS);
    }

    /**
     * Creates a full budget.
     *
     * @param retriesPerSuccess retries earned by one success, at most {@link #MAX_RETRIES_SAVED}
     */
    public RetryBudget(double retriesPerSuccess) {
        unitsPerSuccess = (int) (retriesPerSuccess * UNITS_PER_RETRY);
    }

    @Override
    public boolean tryAcquire() {
        int before = units.getAndUpdate(saved -> saved >= UNITS_PER_RETRY ? saved - UNITS_PER_RETRY : saved);
        return before >= UNITS_PER_RETRY;
    }

    @Override
    public void recordSuccess() {
        units.updateAndGet(saved -> Math.min(MAX_UNITS, saved + unitsPerSuccess));
    }
}
