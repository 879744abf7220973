package org.cuminspur.reachability;

/**
 * The size and the load of a simulated fleet; immutable.
 *
 * @param contactMillis time from the beginning of a cut from which callers must be served
 * @param messageLoss share of the messages between instances that are lost
 */
record CutFleet(
        int instances,
        int domains,
        int upstreams,
        double requestsPerSecond,
        double rareRequestsPerSecond,
        long contactMillis,
        double messageLoss) {}
