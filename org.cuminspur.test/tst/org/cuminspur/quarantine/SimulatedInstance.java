package org.cuminspur.quarantine;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.function.Function;
import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.PromptPartId;
import org.cuminspur.internal.hash.Rendezvous;
import org.cuminspur.testing.VirtualTime;
import org.cuminspur.traffic.FleetView;
import org.cuminspur.traffic.PlacementDecision;
import org.cuminspur.traffic.PromptPlacement;
import org.cuminspur.traffic.TrafficBounds;
import org.cuminspur.traffic.UpstreamPool;
import org.cuminspur.traffic.UpstreamState;

/** One start of an instance, which places requests as the product does; not thread-safe. */
final class SimulatedInstance {
    private static final TrafficBounds BOUNDS =
            new TrafficBounds(5_000, 2_000, 2_000, 0.2, 52, 10_000, 1.5, 5, 2, 8_000);
    private static final int MAX_SENDS = 2;
    private static final int MAX_CONNECT_FAILURES = 3;

    /** Sends an attempt to an upstream that is chosen; returns whether it accepts the connection. */
    @FunctionalInterface
    interface Upstreams {
        boolean send(SimulatedAttempt attempt);
    }

    final InstanceId id;
    final CrashPolicy policy;
    final List<SimulatedAttempt> inProgress = new ArrayList<>();
    private final VirtualTime time;
    private final Upstreams upstreams;
    private final long startedMillis;
    private final UpstreamPool pool;
    private final PromptPlacement placement;
    boolean running = true;

    SimulatedInstance(
            InstanceId id,
            VirtualTime time,
            Random random,
            Upstreams upstreams,
            Function<SimulatedInstance, CrashPolicy> policy) {
        this.id = id;
        this.time = time;
        this.upstreams = upstreams;
        startedMillis = time.nowMillis();
        pool = new UpstreamPool(id, BOUNDS, gone -> {});
        placement = new PromptPlacement(
                new FailureDomainId("domain-" + Math.floorMod(id.hashCode(), 3)),
                BOUNDS.loadFactor(),
                random::nextDouble);
        this.policy = policy.apply(this);
    }

    /** Runs an action after a delay, unless the instance has ended by then. */
    void schedule(long delayMillis, Runnable action) {
        time.schedule(delayMillis, () -> {
            if (running) {
                action.run();
            }
        });
    }

    void apply(FleetView view) {
        if (running) {
            pool.update(view, time.nowMillis());
            policy.update(view);
        }
    }

    boolean inTouch(long contactMillis) {
        return time.nowMillis() - startedMillis >= contactMillis;
    }

    /** Takes a caller's attempt. */
    void take(SimulatedAttempt attempt) {
        attempt.instance = this;
        policy.admit(attempt, admission -> {
            if (admission.admitted()) {
                send(attempt, admission.trial());
            } else {
                attempt.settle(false);
            }
        });
    }

    private void send(SimulatedAttempt attempt, boolean trial) {
        List<UpstreamState> service = pool.upstreams(SimulatedUpstreams.MODEL);
        if (trial) {
            attempt.tried.addAll(TrialUpstreams.unsuited(service));
        }
        for (int i = 0; i < MAX_CONNECT_FAILURES; i++) {
            Optional<PlacementDecision> chosen = placement.choose(
                    service,
                    new PromptPlacement.Criteria(
                            OptionalLong.of(attempt.parts.stream()
                                    .mapToLong(PromptPartId::hash)
                                    .reduce(0, Rendezvous::mix)),
                            Optional.empty(),
                            Optional.empty(),
                            attempt.tried),
                    time.nowMillis());
            if (chosen.isEmpty()) {
                break;
            }
            attempt.upstream = chosen.get().upstream();
            attempt.tried.add(attempt.upstream.id());
            attempt.sentMillis = time.nowMillis();
            if (upstreams.send(attempt)) {
                attempt.sends++;
                attempt.upstream.recordSent(attempt, time.nowMillis());
                inProgress.add(attempt);
                return;
            }
            attempt.upstream.recordUnreachable(time.nowMillis());
            attempt.upstream.health().recordUnreachable(time.nowMillis());
            policy.refused(attempt.upstream);
        }
        attempt.settle(false);
    }

    /** Handles the first event of a response. */
    void responded(SimulatedAttempt attempt) {
        attempt.firstEventMillis = time.nowMillis();
        attempt.upstream.recordResponseStarted(attempt);
        attempt.upstream.health().recordSuccess();
        policy.responded(attempt.upstream, attempt.sentMillis);
        attempt.settle(true);
    }

    /** Handles the end of a complete response. */
    void completed(SimulatedAttempt attempt) {
        end(attempt);
        policy.answered(attempt);
    }

    /** Handles the loss of the connection. */
    void broken(SimulatedAttempt attempt) {
        if (!running || !inProgress.contains(attempt)) {
            return;
        }
        end(attempt);
        attempt.upstream.health().recordFailure(time.nowMillis());
        policy.broken(attempt.upstream, attempt.broken(time.nowMillis()), mayRepeat -> {
            if (mayRepeat && attempt.firstEventMillis < 0 && attempt.sends < MAX_SENDS) {
                take(attempt);
            } else {
                attempt.settle(false);
            }
        });
    }

    /** Ends the attempts in progress with a suspect. */
    List<SimulatedAttempt> cancel(SuspectId suspect) {
        List<SimulatedAttempt> cancelled = inProgress.stream()
                .filter(attempt ->
                        attempt.firstEventMillis < 0 && attempt.suspects().contains(suspect))
                .toList();
        cancelled.forEach(attempt -> {
            end(attempt);
            attempt.settle(false);
        });
        return cancelled;
    }

    private void end(SimulatedAttempt attempt) {
        inProgress.remove(attempt);
        attempt.upstream.recordEnded(attempt);
    }
}
