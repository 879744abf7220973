package org.cuminspur.retry;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Bounds retries to a share of successes, so that an outage does not multiply the load that caused it.
 *
 * <p>Thread-safe. Over any period, retries are at most {@link #MAX_RETRIES_SAVED} plus {@link #RETRIES_PER_SUCCESS}
 * times the successes of the period.
 */
public final class RetryBudget {
    /** Retries earned by one success. */
    public static final double RETRIES_PER_SUCCESS = 0.1;

    /** The most retries that can be saved up; a new budget holds as many. */
    public static final int MAX_RETRIES_SAVED = 10;

    private static final int UNITS_PER_RETRY = 1_000;
    private static final int UNITS_PER_SUCCESS = (int) (RETRIES_PER_SUCCESS * UNITS_PER_RETRY);
    private static final int MAX_UNITS = MAX_RETRIES_SAVED * UNITS_PER_RETRY;

    private final AtomicInteger units = new AtomicInteger(MAX_UNITS);

    /** Takes one retry from the budget; returns whether there was one. */
    public boolean take() {
        int before = units.getAndUpdate(held -> held >= UNITS_PER_RETRY ? held - UNITS_PER_RETRY : held);
        return before >= UNITS_PER_RETRY;
    }

    /** Counts a request that was served whole. */
    public void succeeded() {
        units.updateAndGet(held -> Math.min(MAX_UNITS, held + UNITS_PER_SUCCESS));
    }
}
