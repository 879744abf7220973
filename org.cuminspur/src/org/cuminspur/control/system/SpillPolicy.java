package org.cuminspur.control.system;

import org.cuminspur.config.ServiceSpec;

/**
 * Computes the share of its chats that a loaded upstream spills to their next choice; stateless.
 *
 * <p>The share is 1 from just below the load bound, or just below full slots if that comes first. It rises linearly
 * from 0 halfway between the mean and that load. A step function would make all routers switch at once.
 */
final class SpillPolicy {
    private static final double START_SHARE_OF_EXCESS = 0.5;
    private static final double FULL_SHARE_OF_BOUND = 0.97;
    private static final double FULL_SHARE_OF_SLOTS = 0.98;
    private static final double MIN_EXCESS = 0.03;
    private static final double MIN_MEAN_LOAD = 4;

    private SpillPolicy() {}

    /**
     * Returns the share, from 0 to 1.
     *
     * @param load work in progress as a multiple of the mean
     * @param mean mean requests in progress at an upstream; if few, the load ratio is noise
     */
    static double spillShare(double load, double mean, ServiceSpec service) {
        if (mean < MIN_MEAN_LOAD) {
            return 0;
        }
        double fullSpillLoad =
                Math.min(service.loadBound() * FULL_SHARE_OF_BOUND, FULL_SHARE_OF_SLOTS * service.slots() / mean);
        double excess = Math.max(MIN_EXCESS, fullSpillLoad - 1);
        double startLoad = 1 + excess * START_SHARE_OF_EXCESS;
        return Math.max(0, Math.min(1, (load - startLoad) / (1 + excess - startLoad)));
    }
}
