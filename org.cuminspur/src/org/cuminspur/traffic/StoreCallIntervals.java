package org.cuminspur.traffic;

/**
 * Intervals between an instance's calls to the platform's store, by fleet size; immutable and thread-safe.
 *
 * <p>The store's call rate limits grow more slowly than the fleet, and every call costs, so a larger fleet batches more
 * changes into one call and confirms less often. Whatever the size, both intervals stay within shares of the bounds
 * that depend on them.
 */
final class StoreCallIntervals {
    /** Delay after a change, to batch more changes, for each instance of the fleet. */
    private static final long BATCH_DELAY_PER_INSTANCE_MS = 20;

    /** Maximum delay as a share of the change bound; the rest covers the call and a request's way to the upstream. */
    private static final double BATCH_DELAY_SHARE = 0.5;

    /** Confirmation interval of a fleet of one instance. */
    private static final long BASE_CONFIRM_MS = 1_000;

    private static final long CONFIRM_PER_INSTANCE_MS = 15;

    /** Maximum confirmation interval as a share of the change bound, since confirmations detect a silent watch. */
    private static final double CONFIRM_CHANGE_SHARE = 0.66;

    /** Maximum as a share of the revocation bound, so that one confirmation may fail before keys are refused. */
    private static final double CONFIRM_REVOKE_SHARE = 0.45;

    /** Time that a watch may take to deliver changes, in addition to that for each instance. */
    private static final long BASE_CATCH_UP_MS = 200;

    /** Large fleets run on slow links, which a series of configurations saturates for a while. */
    private static final long CATCH_UP_PER_INSTANCE_MS = 10;

    private static final long MAX_CATCH_UP_MS = 1_000;

    private final TrafficBounds bounds;

    StoreCallIntervals(TrafficBounds bounds) {
        this.bounds = bounds;
    }

    /** Returns how long a watch may batch changes, in milliseconds. */
    long batchDelayMillis(int instances) {
        long maxMillis = (long) (BATCH_DELAY_SHARE * bounds.maxChangeDelayMillis());
        return Math.min(maxMillis, BATCH_DELAY_PER_INSTANCE_MS * Math.max(1, instances));
    }

    /** Returns the time between confirmations, in milliseconds. */
    long confirmIntervalMillis(int instances) {
        long maxMillis = (long) Math.min(
                CONFIRM_CHANGE_SHARE * bounds.maxChangeDelayMillis(),
                CONFIRM_REVOKE_SHARE * bounds.maxRevocationDelayMillis());
        return Math.min(maxMillis, BASE_CONFIRM_MS + CONFIRM_PER_INSTANCE_MS * Math.max(0, instances - 1));
    }

    /** Returns after how many milliseconds a watch that lacks changes seen by a confirmation counts as silent. */
    long catchUpTimeoutMillis(int instances) {
        return Math.min(MAX_CATCH_UP_MS, BASE_CATCH_UP_MS + CATCH_UP_PER_INSTANCE_MS * instances);
    }
}
