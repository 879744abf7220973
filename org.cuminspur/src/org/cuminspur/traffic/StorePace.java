package org.cuminspur.traffic;

/**
 * Says how often an instance calls the platform's store, by the size of its fleet; stateless and thread-safe.
 *
 * <p>The store's rates grow more slowly than the fleet, and every call costs; so a larger fleet lets more changes gather
 * for one call, and confirms less often. Both stay below half of the shortest bound that rests on them, which is 2 s
 * for small fleets and 3 s for those of dozens.
 */
final class StorePace {
    /** Pause after a change for each instance of the fleet, in which more changes gather. */
    private static final long GATHER_PER_INSTANCE_MS = 10;

    private static final long LONGEST_GATHER_MS = 700;

    /** Time between confirmations of a small fleet; a third of the shortest bound that rests on them, with a retry. */
    private static final long CONFIRM_MS = 1_000;

    private static final long CONFIRM_PER_INSTANCE_MS = 8;
    private static final long LONGEST_CONFIRM_MS = 1_600;

    private StorePace() {}

    /** Returns the pause after a change, in milliseconds. */
    static long gatherMillis(int instances) {
        return Math.min(LONGEST_GATHER_MS, GATHER_PER_INSTANCE_MS * Math.max(1, instances));
    }

    /** Returns the time between confirmations, in milliseconds. */
    static long confirmMillis(int instances) {
        return Math.min(LONGEST_CONFIRM_MS, CONFIRM_MS + CONFIRM_PER_INSTANCE_MS * Math.max(0, instances - 1));
    }
}
