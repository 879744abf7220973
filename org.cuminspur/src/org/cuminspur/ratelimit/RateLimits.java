package org.cuminspur.ratelimit;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.function.Consumer;
import org.cuminspur.id.InstanceId;
import org.cuminspur.time.Clock;
import org.cuminspur.time.Timer;
import org.cuminspur.traffic.FactGossip;
import org.cuminspur.traffic.FleetView;
import org.cuminspur.traffic.UpstreamProcessId;
import org.cuminspur.traffic.UpstreamState;

/**
 * Keeps the rates that upstreams name for all instances together.
 *
 * <p>Not thread-safe; confined to the traffic thread. Instances tell each other which upstreams name limits. For each
 * request to such an upstream a permit is asked of the one instance that grants all of its permits, so that the limit is
 * used wherever the requests come. Where none is granted, the upstream takes no request of this instance for a moment.
 */
public final class RateLimits {
    /** Longest time for which an upstream is left out after a permit was not granted, so that the end is noticed. */
    static final long MAX_DENIAL_MS = 500;

    /** Sends messages to other instances, perhaps in vain. */
    public interface Host {
        void send(InstanceId to, PermitMessage message);

        void sendToAll(PermitMessage message);
    }

    private final Clock clock;
    private final LimitTable limits = new LimitTable();
    private final PermitArbiter permits;
    private final FactGossip<LimitFact> gossip;

    /**
     * Creates limits that know of none.
     *
     * @param clock never goes back
     */
    public RateLimits(InstanceId self, Clock clock, Timer timer, Random random, Host host) {
        this.clock = clock;
        permits = new PermitArbiter(self, clock, timer, host::send);
        gossip = new FactGossip<>(
                self,
                timer,
                random,
                PermitCodec.MAX_LIMITS,
                () -> limits.facts(clock.millis()),
                new FactGossip.Channel<>() {
                    @Override
                    public void sendToAll(List<LimitFact> facts) {
                        host.sendToAll(new PermitMessage.Limits(facts));
                    }

                    @Override
                    public void send(InstanceId to, List<LimitFact> facts) {
                        host.send(to, new PermitMessage.Limits(facts));
                    }
                });
    }

    /** Applies a newer view of the fleet. */
    public void update(FleetView view) {
        permits.update(view);
        gossip.update(view);
    }

    /** Records what a response to a request that was sent at {@code sentMillis} named; what is no rate counts as none. */
    public void recordResponse(UpstreamState upstream, long sentMillis, Optional<NamedLimit> limit) {
        Optional<NamedLimit> valid = limit.filter(NamedLimit::isValid);
        if (valid.isEmpty() && limits.isEmpty()) {
            return;
        }
        OptionalDouble rate =
                valid.stream().mapToDouble(NamedLimit::requestsPerSecond).findFirst();
        limits.record(UpstreamProcessId.of(upstream.entry()), rate, sentMillis, clock.millis())
                .ifPresent(fact -> gossip.announce(List.of(fact)));
    }

    /** Returns whether an upstream names a limit, as far as is known here. */
    public boolean isLimited(UpstreamState upstream) {
        return limitOf(upstream).isPresent();
    }

    /**
     * Asks whether a request may be sent to an upstream now.
     *
     * @param bound whether it can go to few other upstreams or to none
     * @param result receives the answer at once or soon; if it is negative, the upstream is left out for a moment
     */
    public void acquire(UpstreamState upstream, boolean bound, Consumer<Boolean> result) {
        OptionalDouble limit = limitOf(upstream);
        if (limit.isEmpty()) {
            result.accept(true);
            return;
        }
        permits.request(UpstreamProcessId.of(upstream.entry()), limit.getAsDouble(), bound, permit -> {
            if (!permit.granted()) {
                upstream.leaveOutUntil(clock.millis() + Math.min(MAX_DENIAL_MS, permit.waitMillis()));
            }
            result.accept(permit.granted());
        });
    }

    /** Handles a message of another instance. */
    public void receive(InstanceId from, PermitMessage message) {
        if (message instanceof PermitMessage.Limits facts) {
            facts.limits().forEach(fact -> limits.add(fact, clock.millis()));
            gossip.keepSpreading();
        } else if (message instanceof PermitMessage.Query query) {
            double rate = limits.find(query.upstream(), clock.millis()).orElse(query.requestsPerSecond());
            permits.receive(from, query, rate);
        } else if (message instanceof PermitMessage.Reply reply) {
            permits.receive(from, reply);
        }
    }

    private OptionalDouble limitOf(UpstreamState upstream) {
        return limits.isEmpty()
                ? OptionalDouble.empty()
                : limits.find(UpstreamProcessId.of(upstream.entry()), clock.millis());
    }
}
