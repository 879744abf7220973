package org.cuminspur.soak.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * What is done to the fleet and when, drawn from a seed; immutable.
 *
 * <p>Disturbances come in series, overlap and repeat; each kind is as likely as any other.
 *
 * @param steps in order of time
 */
record Plan(List<Step> steps) {
    /** A planned stop of an instance, whose process starts again after its end. */
    static final String STOP = "stop";

    /** Time from a planned stop to the next process's readiness: the grace time, and a start. */
    static final long STOP_MS = 8_000;

    /** Time from a kill to the next process's readiness. */
    static final long RESTART_MS = 2_500;

    private static final long FIRST_MS = 3_000;

    /** Time that the fleet has at the end to recover, and to be seen serving. */
    private static final long LAST_MS = Checks.RECOVERY_MS + 6_000;

    private static final long SHORTEST_MS = 300;
    private static final long LONGEST_MS = 6_000;
    private static final long MEAN_GAP_MS = 1_200;

    /** Chance that a disturbance is followed at once by one of the same kind. */
    private static final double SERIES = 0.25;

    /** Kinds of disturbance, and of planned work. */
    enum Kind {
        INSTANCE_STOP,
        INSTANCE_KILL,
        INSTANCE_PAUSE,
        /** An instance, or all of a failure domain, loses its links to all upstreams. */
        INSTANCE_CUT,
        CALLERS_RESET,
        CALLERS_SILENT,
        STORE_LINK_SILENT,
        STORE_LINK_RESET,
        STORE_LINK_ONE_WAY,
        STORE_LINK_SLOW,
        STORE_REFUSES,
        STORE_SILENT,
        STORE_SLOW,
        STORE_LOSES_REPLIES,
        STORE_FORGETS,
        STORE_WATCHES_DEAF,
        /** Comes back from a copy. */
        STORE_RETURNS,
        UPSTREAM_SILENT,
        UPSTREAM_RESET,
        UPSTREAM_SLOW,
        UPSTREAM_ERRORS,
        UPSTREAM_LOSES_ANSWERS,
        UPSTREAM_GARBLES,
        UPSTREAM_EXTRA_ANSWERS,
        UPSTREAM_FULL,
        UPSTREAM_TURNS_AWAY,
        UPSTREAM_LIMITED,
        UPSTREAM_RELEASE,
        DOMAIN_EMPTIED,
        KEYS_CHANGE,
        ALL_KILLED,
        /** Requests come one part of whose prompts crashes upstreams. */
        CRASHING_PART,
        /** One request that crashes upstreams comes again and again. */
        CRASHING_REQUEST,
        /** Another writer leaves an entry among those of the upstreams that names none. */
        ODD_ENTRY,
        /** A service is moved to another software version, good or bad. Drawn apart from the others. */
        ROLLOUT
    }

    /**
     * One disturbance; immutable.
     *
     * @param index chooses the target among those that fit, modulo their number
     */
    record Step(long atMillis, Kind kind, int index, long forMillis) {}

    /** Returns the plan of a seed for a soak of a length. */
    static Plan of(RandomGenerator random, long millis) {
        List<Step> steps = new ArrayList<>();
        long at = FIRST_MS;
        Kind kind = draw(random);
        while (at < millis - LAST_MS - LONGEST_MS) {
            long length = SHORTEST_MS + (long) (random.nextDouble() * (LONGEST_MS - SHORTEST_MS));
            steps.add(new Step(at, kind, random.nextInt(1_000), length));
            at += (long) (-Math.log(1 - random.nextDouble()) * MEAN_GAP_MS);
            kind = random.nextDouble() < SERIES ? kind : draw(random);
        }
        return new Plan(
                steps.stream().sorted(Comparator.comparingLong(Step::atMillis)).toList());
    }

    private static Kind draw(RandomGenerator random) {
        return Kind.values()[random.nextInt(Kind.ROLLOUT.ordinal())];
    }

    /** Returns this plan with roll-outs beside its steps, which stay as their seed has drawn them. */
    Plan withRollouts(RandomGenerator random, long millis) {
        List<Step> all = new ArrayList<>(steps);
        long at = FIRST_MS;
        while (at < millis - LAST_MS - SoakRollout.DURATION_MS) {
            all.add(new Step(at, Kind.ROLLOUT, random.nextInt(1_000), SoakRollout.DURATION_MS));
            at += SoakRollout.DURATION_MS + (long) (random.nextDouble() * LONGEST_MS);
        }
        return new Plan(
                all.stream().sorted(Comparator.comparingLong(Step::atMillis)).toList());
    }
}
