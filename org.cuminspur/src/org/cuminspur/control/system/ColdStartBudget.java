package org.cuminspur.control.system;

import org.cuminspur.config.ServiceSpec;

/**
 * Computes how many requests the fleet may have in progress at a cold upstream, and each router's share of them.
 *
 * <p>Stateless. The budget is half of the capacity assumed at the upstream's age. The upstream is therefore not
 * overloaded while routers' lists differ by at most as many routers as have a share, or by half of the fleet once all
 * have one.
 */
final class ColdStartBudget {
    private static final double SAFETY_FACTOR = 0.5;

    private ColdStartBudget() {}

    /**
     * Returns the start in milliseconds since the epoch that an incarnation encodes, or {@code fallback} if it encodes
     * none.
     */
    static long startMillis(String incarnation, long fallback) {
        boolean number = !incarnation.isEmpty()
                && incarnation.length() <= 18
                && incarnation.chars().allMatch(c -> c >= '0' && c <= '9');
        return number ? Long.parseLong(incarnation) : fallback;
    }

    /** Returns the requests that the whole fleet may have in progress at an upstream of the given age. */
    static int fleetBudget(ServiceSpec service, long ageMillis) {
        double passed = Math.max(0, (double) ageMillis / service.rampMillis());
        double growth = Math.max(1, (double) service.slots() / service.coldAllowance());
        return (int) Math.max(1, SAFETY_FACTOR * service.coldAllowance() * Math.pow(growth, passed));
    }

    /** Returns one router's share of the fleet's budget. */
    static int routerShare(int budget, int rank, int routers) {
        return budget < routers ? (rank < budget ? 1 : 0) : budget / routers;
    }
}
