package org.cuminspur.quarantine;

/**
 * Size, load and faults of a simulated fleet; immutable.
 *
 * @param requestsPerSecond sound requests of the whole fleet
 * @param crashingPerSecond requests with the part that crashes upstreams
 * @param contactMillis time in which an instance must act on what the fleet can know
 * @param ordinaryCrashesPerSecond crashes of upstreams without any cause in a request
 * @param flappingUpstreams upstreams that end and start again all the time
 * @param brokenShare share of requests whose connection breaks although their upstream goes on
 * @param messageLoss share of messages between instances that are lost
 * @param soundBefore whether requests with the part are sound until others crash upstreams
 */
record CrashFleet(
        int instances,
        int upstreams,
        double requestsPerSecond,
        double crashingPerSecond,
        long contactMillis,
        double ordinaryCrashesPerSecond,
        int flappingUpstreams,
        double brokenShare,
        double messageLoss,
        boolean soundBefore) {
    /** Returns this fleet with another rate of requests that crash upstreams. */
    CrashFleet withCrashing(double perSecond) {
        return new CrashFleet(
                instances,
                upstreams,
                requestsPerSecond,
                perSecond,
                contactMillis,
                ordinaryCrashesPerSecond,
                flappingUpstreams,
                brokenShare,
                messageLoss,
                soundBefore);
    }
}
