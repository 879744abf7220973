package org.cuminspur.rollout;

import java.util.Random;

/** How the versions of a simulated service answer; immutable. */
final class SimulatedVersions {
    /** An answer: whether it fails, and what it takes. */
    record Answer(boolean failed, long millis) {}

    /** Decides how an answer of the target differs from one of the version in service. */
    @FunctionalInterface
    interface Fault {
        Answer apply(Answer usual, int route, long sinceOrderMillis, double load, Random random);
    }

    static final Fault GOOD = (usual, route, since, load, random) -> usual;

    private static final long MEAN_MS = 60;
    private static final double LOADED = 3;

    private SimulatedVersions() {}

    /** Returns a fault by which a share of the answers fail. */
    static Fault failing(double share) {
        return (usual, route, since, load, random) ->
                random.nextDouble() < share ? new Answer(true, usual.millis()) : usual;
    }

    /** Returns a fault by which a share of the answers take several times as long. */
    static Fault slow(double share, int factor) {
        return (usual, route, since, load, random) ->
                random.nextDouble() < share ? new Answer(false, factor * usual.millis()) : usual;
    }

    /** Returns a fault that begins some time after the order. */
    static Fault later(long afterMillis, Fault fault) {
        return (usual, route, since, load, random) ->
                since >= afterMillis ? fault.apply(usual, route, since, load, random) : usual;
    }

    /** Returns a fault of one route only. */
    static Fault onRoute(int only, Fault fault) {
        return (usual, route, since, load, random) ->
                route == only ? fault.apply(usual, route, since, load, random) : usual;
    }

    /** Returns a fault that shows at upstreams with several requests at a time. */
    static Fault underLoad(Fault fault) {
        return (usual, route, since, load, random) ->
                load >= LOADED ? fault.apply(usual, route, since, load, random) : usual;
    }

    static Answer usual(Random random) {
        return new Answer(random.nextDouble() < 0.005, (long) (MEAN_MS * (0.5 + random.nextDouble())));
    }
}
