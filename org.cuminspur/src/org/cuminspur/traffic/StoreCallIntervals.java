package org.cuminspur.traffic;

/**
 * Says how often an instance calls the platform's store, by the size of its fleet; immutable and thread-safe.
 *
 * <p>The store's rates grow more slowly than the fleet, and every call costs; so a larger fleet lets more changes gather
 * for one call, and confirms less often. Both stay within parts of the bounds that rest on them, whatever the size.
 */
final class StoreCallIntervals {
    /** Pause after a change for each instance of the fleet, in which more changes gather. */
    private static final long BATCH_DELAY_PER_INSTANCE_MS = 20;

    /** Part of the bound on changes that may pass before the next call; the rest covers the call and the way upstream. */
    private static final double BATCH_DELAY_SHARE = 0.5;

    /** Time between confirmations of a single instance. */
    private static final long BASE_CONFIRM_MS = 1_000;

    private static final long CONFIRM_PER_INSTANCE_MS = 15;

    /** Part of the bound on changes between confirmations, which find a watch that is silent. */
    private static final double CONFIRM_CHANGE_SHARE = 0.66;

    /** Part of the bound on revoked keys between confirmations, so that one may fail before keys are refused. */
    private static final double CONFIRM_REVOKE_SHARE = 0.45;

    /** Time that a watch may take to bring what there is, besides that for each instance. */
    private static final long BASE_CATCH_UP_MS = 200;

    /** Large fleets run on small links, which a series of configurations fills for a while. */
    private static final long CATCH_UP_PER_INSTANCE_MS = 10;

    private static final long MAX_CATCH_UP_MS = 1_000;

    private final TrafficBounds bounds;

    StoreCallIntervals(TrafficBounds bounds) {
        this.bounds = bounds;
    }

    /** Returns the pause after a change, in milliseconds. */
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

    /** Returns the time after which a watch that has not brought what a confirmation saw counts as silent. */
    long catchUpTimeoutMillis(int instances) {
        return Math.min(MAX_CATCH_UP_MS, BASE_CATCH_UP_MS + CATCH_UP_PER_INSTANCE_MS * instances);
    }
}
