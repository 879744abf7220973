package org.cuminspur.soak.internal;

import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

/**
 * Moves the plain service to other software versions, one after the other, as the platform does; thread-safe.
 *
 * <p>Every second version is bad. As the fleet states the end, the upstreams of the version that lost stop: at once if the
 * target is completed, after draining if it is reverted.
 */
final class SoakRollout {
    static final long DURATION_MS = 10_000;

    private static final int UPSTREAMS = 3;
    private static final long POLL_MS = 20;

    /** Time after which a roll-out that has not ended is given up; store and instances may be away meanwhile. */
    private static final long GIVE_UP_MS = DURATION_MS + 15_000;

    /** Time from the word that a version is reverted until its upstreams drain. */
    private static final long DRAIN_AFTER_MS = 2_500;

    /** The upstreams of the service. */
    interface Upstreams {
        SoakUpstream start(int number, String version);

        /** Lets upstreams serve alone; all others of the service stop at once. */
        void replaceAll(List<SoakUpstream> target);

        /** Lets upstreams leave as they do in a release. */
        void release(List<SoakUpstream> target);
    }

    private final Operator operator;
    private final History history;
    private final ScheduledExecutorService later;
    private final Upstreams upstreams;
    private int ordered;
    private boolean open;
    private ScheduledFuture<?> polling;

    SoakRollout(Operator operator, History history, ScheduledExecutorService later, Upstreams upstreams) {
        this.operator = operator;
        this.history = history;
        this.later = later;
        this.upstreams = upstreams;
    }

    /** Gives an order and starts the target's upstreams, unless a roll-out is open. */
    synchronized void begin(Plan.Step step) {
        if (open) {
            return;
        }
        open = true;
        String target = "r" + ++ordered;
        boolean bad = step.index() % 2 == 0;
        long orderMillis = history.now();
        operator.rollOut(Operator.APP, target, DURATION_MS);
        List<SoakUpstream> started = IntStream.range(0, UPSTREAMS)
                .mapToObj(number -> upstreams.start(number, target))
                .toList();
        if (bad) {
            started.forEach(upstream -> upstream.mode(SoakUpstream.Mode.ERRORS));
        }
        polling = later.scheduleAtFixedRate(
                () -> poll(target, bad, orderMillis, started), POLL_MS, POLL_MS, TimeUnit.MILLISECONDS);
    }

    private synchronized void poll(String target, boolean bad, long orderMillis, List<SoakUpstream> started) {
        String status = operator.rolloutStatus(Operator.APP);
        boolean completed = states(status, "completed", target);
        boolean ended = completed || states(status, "reverted", target);
        if (!open || !(ended || history.now() > orderMillis + GIVE_UP_MS)) {
            return;
        }
        open = false;
        polling.cancel(false);
        String state = completed ? "completed" : ended ? "reverted" : "open";
        history.add(new History.Rollout(target, bad, orderMillis, orderMillis + DURATION_MS, state, history.now()));
        if (completed) {
            upstreams.replaceAll(started);
        } else {
            later.schedule(() -> upstreams.release(started), DRAIN_AFTER_MS, TimeUnit.MILLISECONDS);
        }
    }

    private static boolean states(String status, String state, String target) {
        return status.contains("\"" + state + "\"") && status.contains("\"" + target + "\"");
    }
}
