package org.cuminspur.control.system;

/**
 * Works out the share of its chats that a loaded upstream leaves to their next choice; stateless.
 *
 * <p>The share rises evenly from a little over the mean to 1 at the bound. A step would make all routers jump together.
 */
final class Spill {
    private static final double FROM = 1.08;
    private static final double FULL_SHARE_OF_BOUND = 0.97;
    private static final double LEAST_MEAN = 4;

    private Spill() {}

    /**
     * Returns the share, from 0 to 1.
     *
     * @param load work in progress as a multiple of the mean
     * @param bound the most load that is allowed, as a multiple of the mean
     * @param mean requests in progress at an upstream; if few, single requests say nothing
     */
    static double share(double load, double bound, double mean) {
        if (mean < LEAST_MEAN) {
            return 0;
        }
        double full = Math.max(FROM + 0.02, bound * FULL_SHARE_OF_BOUND);
        return Math.max(0, Math.min(1, (load - FROM) / (full - FROM)));
    }
}
