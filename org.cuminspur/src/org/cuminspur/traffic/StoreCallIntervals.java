package org.cuminspur.traffic;

/**
 * Intervals between an instance's calls to the platform's store, by fleet size; immutable and thread-safe.
 *
 * <p>The store's call rate limits grow more slowly than the fleet, and every call costs, so an instance of a larger fleet
 * asks for changes less often. Whatever the size, the interval stays within shares of the bounds that depend on it.
 */
final class StoreCallIntervals {
    /** Interval of the smallest fleets. */
    private static final long MIN_POLL_MS = 350;

    /** Keeps the fleet's calls for changes at some fourteen a second until the bounds call for more. */
    private static final long POLL_PER_INSTANCE_MS = 70;

    /** Maximum interval as a share of the change bound; the rest covers a failed call and a request's way upstream. */
    private static final double CHANGE_SHARE = 0.48;

    /** Maximum as a share of the revocation bound, so that one call may fail before keys are refused. */
    private static final double REVOKE_SHARE = 0.45;

    /** Time for which the store may lack changes up to its own revision before everything is read. */
    private static final long BASE_CATCH_UP_MS = 200;

    private static final long CATCH_UP_PER_INSTANCE_MS = 10;

    private static final long MAX_CATCH_UP_MS = 1_000;

    private final TrafficBounds bounds;

    StoreCallIntervals(TrafficBounds bounds) {
        this.bounds = bounds;
    }

    /** Returns the time between reads of changes, in milliseconds. */
    long pollIntervalMillis(int instances) {
        long maxMillis = (long) Math.min(
                CHANGE_SHARE * bounds.maxChangeDelayMillis(), REVOKE_SHARE * bounds.maxRevocationDelayMillis());
        return Math.min(maxMillis, Math.max(MIN_POLL_MS, POLL_PER_INSTANCE_MS * instances));
    }

    /** Returns after how many milliseconds everything is read if the store does not give all changes. */
    long catchUpTimeoutMillis(int instances) {
        return Math.min(MAX_CATCH_UP_MS, BASE_CATCH_UP_MS + CATCH_UP_PER_INSTANCE_MS * instances);
    }
}
