package org.cuminspur.control.system;

import org.cuminspur.config.ServiceSpec;

/**
 * Works out the share of its chats that a loaded upstream leaves to their next choice; stateless.
 *
 * <p>The share rises evenly from a little over the mean to 1 at the bound, or where the slots
 * are full if that comes first. A step would make all routers jump together.
 */
final class SpillPolicy {
    private static final double FROM_SHARE_OF_EXCESS = 0.5;
    private static final double FULL_SHARE_OF_BOUND = 0.97;
    private static final double FULL_SHARE_OF_SLOTS = 0.98;
    private static final double LEAST_EXCESS = 0.03;
    private static final double LEAST_MEAN = 4;

    private SpillPolicy() {}

    /**
     * Returns the share, from 0 to 1.
     *
     * @param load work in progress as a multiple of the mean
     * @param mean requests in progress at an upstream; if few, single requests say nothing
     */
    static double share(double load, double mean, ServiceSpec service) {
        if (mean < LEAST_MEAN) {
            return 0;
        }
        double most = Math.min(service.loadBound() * FULL_SHARE_OF_BOUND, FULL_SHARE_OF_SLOTS * service.slots() / mean);
        double excess = Math.max(LEAST_EXCESS, most - 1);
        double from = 1 + excess * FROM_SHARE_OF_EXCESS;
        return Math.max(0, Math.min(1, (load - from) / (1 + excess - from)));
    }
}
