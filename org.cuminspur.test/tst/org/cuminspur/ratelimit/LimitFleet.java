package org.cuminspur.ratelimit;

/**
 * Size, load and faults of a simulated fleet whose upstreams name limits; immutable.
 *
 * @param limitedShare share of the upstreams that name a limit
 * @param limitFactor limits on average, as a share of an upstream's part of the load
 * @param contactMillis time from which a limit must be kept
 * @param messageLoss share of messages between instances that are lost
 * @param killMillis time between kills of instances
 */
record LimitFleet(
        int instances,
        int upstreams,
        double requestsPerSecond,
        double limitedShare,
        double limitFactor,
        long contactMillis,
        double messageLoss,
        long killMillis) {}
