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
 * @param culprit what crashes upstreams
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
        boolean soundBefore,
        Culprit culprit) {
    /** What crashes upstreams. */
    enum Culprit {
        /** One part of prompts, in requests of which no two are alike. */
        PART,
        /** One request without parts, again and again. */
        PLAIN_REQUEST,
        /** One request all parts of which are sound, again and again. */
        REQUEST_OF_SOUND_PARTS
    }

    CrashFleet(
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
        this(
                instances,
                upstreams,
                requestsPerSecond,
                crashingPerSecond,
                contactMillis,
                ordinaryCrashesPerSecond,
                flappingUpstreams,
                brokenShare,
                messageLoss,
                soundBefore,
                Culprit.PART);
    }

    /** Returns this fleet with another culprit. */
    CrashFleet with(Culprit other) {
        return new CrashFleet(
                instances,
                upstreams,
                requestsPerSecond,
                crashingPerSecond,
                contactMillis,
                ordinaryCrashesPerSecond,
                flappingUpstreams,
                brokenShare,
                messageLoss,
                soundBefore,
                other);
    }

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
                soundBefore,
                culprit);
    }
}
