package org.cuminspur.ratelimit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.ServiceId;
import org.cuminspur.id.SoftwareVersion;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.internal.hash.Rendezvous;
import org.cuminspur.testing.VirtualTime;
import org.cuminspur.traffic.FleetView;
import org.cuminspur.traffic.NetworkAddress;
import org.cuminspur.traffic.PromptPlacement;
import org.cuminspur.traffic.TrafficBounds;
import org.cuminspur.traffic.UpstreamEntry;
import org.cuminspur.traffic.UpstreamPool;
import org.cuminspur.traffic.UpstreamState;

/**
 * Simulates many instances before upstreams some of which name limits for a while.
 *
 * <p>Not thread-safe. Instances are killed and start again without memory, and messages between them are late, doubled
 * and lost. A response names what holds as it begins.
 */
final class NamedLimitSimulation {
    private static final ServiceId MODEL = new ServiceId("model");
    private static final FailureDomainId DOMAIN = new FailureDomainId("domain");
    private static final TrafficBounds BOUNDS =
            new TrafficBounds(5_000, 2_000, 2_000, 0.2, 52, 10_000, 1.5, 5, 2, 8_000);
    private static final int PROMPTS_PER_UPSTREAM = 8;
    private static final int MAX_LINK_DELAY_MS = 3;
    private static final int MAX_MESSAGE_DELAY_MS = 15;
    private static final int MIN_HEAD_MS = 30;
    private static final int HEAD_SPREAD_MS = 200;
    private static final int REST_SPREAD_MS = 2_000;
    private static final long DOWN_MS = 1_000;

    /** Time after the end of the limits in which each instance may still act on them. */
    private static final long NOTICE_MS = 3_000;

    /** One start of an instance. */
    final class Instance {
        final InstanceId id;
        private final long startedMillis = time.nowMillis();
        private final UpstreamPool pool;
        private final PromptPlacement placement;
        private final LimitPolicy policy;
        private boolean running = true;

        Instance(InstanceId id) {
            this.id = id;
            pool = new UpstreamPool(id, BOUNDS, gone -> {});
            placement = new PromptPlacement(DOMAIN, BOUNDS.loadFactor(), random::nextDouble);
            policy = policies.apply(NamedLimitSimulation.this, this);
            pool.update(view, time.nowMillis());
            policy.update(view);
        }

        /** Runs an action after a delay, unless the instance has ended by then. */
        void schedule(long delayMillis, Runnable action) {
            time.schedule(delayMillis, () -> {
                if (running) {
                    action.run();
                }
            });
        }

        LimitPolicy policy() {
            return policy;
        }

        PromptPlacement placement() {
            return placement;
        }

        private void place(long prompt) {
            PromptPlacement.Criteria criteria =
                    new PromptPlacement.Criteria(OptionalLong.of(prompt), Optional.empty(), Optional.empty(), Set.of());
            policy.choose(pool.upstreams(MODEL), criteria, chosen -> {
                if (!limits.isEmpty()) {
                    checker.called(chosen.isPresent());
                }
                chosen.ifPresent(this::send);
            });
        }

        private void send(UpstreamState upstream) {
            Object request = new Object();
            long sentMillis = time.nowMillis();
            upstream.recordSent(request, sentMillis);
            int held = load.merge(upstream.id(), 1, Integer::sum);
            arrived(upstream.id(), this);
            schedule(MIN_HEAD_MS + random.nextInt(HEAD_SPREAD_MS), () -> {
                Optional<NamedLimit> limit = Optional.ofNullable(limits.get(upstream.id()));
                upstream.recordResponseStarted(request);
                upstream.recordReportedLoad(held, 0, time.nowMillis());
                limit.ifPresent(named -> checker.passedOn(upstream.id(), this, time.nowMillis()));
                policy.responded(upstream, sentMillis, limit);
                schedule(random.nextInt(REST_SPREAD_MS), () -> upstream.recordEnded(request));
            });
            time.schedule(HEAD_SPREAD_MS + REST_SPREAD_MS / 2, () -> load.merge(upstream.id(), -1, Integer::sum));
        }
    }

    private final LimitFleet fleet;
    private final BiFunction<NamedLimitSimulation, Instance, LimitPolicy> policies;
    private final Random random;
    private final VirtualTime time = new VirtualTime(1_000_000);
    private final Map<InstanceId, Instance> instances = new LinkedHashMap<>();
    private final Map<UpstreamId, NamedLimit> limits = new HashMap<>();
    private final Map<UpstreamId, Integer> load = new HashMap<>();
    private final Map<UpstreamId, Integer> arrivals = new HashMap<>();
    private final Set<UpstreamId> limited = new HashSet<>();
    private final NamedLimitChecker checker;
    private final FleetView view;
    private long endedMillis = Long.MAX_VALUE;
    private long messages;
    private long requests;

    NamedLimitSimulation(
            LimitFleet fleet, BiFunction<NamedLimitSimulation, Instance, LimitPolicy> policies, long seed) {
        this.fleet = fleet;
        this.policies = policies;
        random = new Random(seed);
        checker = new NamedLimitChecker(fleet.contactMillis());
        view = view(fleet);
        view.instances().forEach(id -> instances.put(id, new Instance(id)));
        send();
        time.schedule(fleet.killMillis(), this::kill);
    }

    NamedLimitChecker checker() {
        return checker;
    }

    VirtualTime time() {
        return time;
    }

    Random random() {
        return random;
    }

    double messagesPerRequest() {
        return (double) messages / requests;
    }

    void advance(long millis) {
        time.advance(millis);
    }

    /** Lets some upstreams name limits, by what they got in the seconds before. */
    void beginLimits(double seconds) {
        List<UpstreamId> all = view.upstreams().keySet().stream().sorted().toList();
        double mean = fleet.requestsPerSecond() / fleet.upstreams();
        all.stream().limit(Math.round(fleet.limitedShare() * all.size())).forEach(id -> {
            NamedLimit limit = new NamedLimit(fleet.limitFactor() * mean * (0.5 + random.nextDouble()));
            limits.put(id, limit);
            double usual = arrivals.getOrDefault(id, 0) / seconds;
            checker.begin(id, limit.requestsPerSecond(), usual, time.nowMillis());
        });
    }

    void endLimits() {
        limits.keySet().forEach(id -> checker.end(id, time.nowMillis()));
        limited.addAll(limits.keySet());
        limits.clear();
        endedMillis = time.nowMillis();
    }

    /** Delivers a message between instances, late, twice or not at all. */
    void deliver(Instance from, InstanceId to, Consumer<Instance> handler) {
        messages++;
        int copies = random.nextDouble() < fleet.messageLoss() ? 0 : random.nextDouble() < fleet.messageLoss() ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            time.schedule(1 + random.nextInt(MAX_MESSAGE_DELAY_MS), () -> {
                Instance receiver = instances.get(to);
                if (receiver.running) {
                    handler.accept(receiver);
                }
            });
        }
    }

    void deliverToAll(Instance from, Consumer<Instance> handler) {
        view.instances().stream().filter(id -> !id.equals(from.id)).forEach(id -> deliver(from, id, handler));
    }

    private void send() {
        requests++;
        // Squared, so that some prompts are asked for often.
        double drawn = random.nextDouble();
        long prompt = Rendezvous.hash("prompt-" + (int) (drawn * drawn * PROMPTS_PER_UPSTREAM * fleet.upstreams()));
        List<Instance> running =
                instances.values().stream().filter(instance -> instance.running).toList();
        Instance instance = running.get(random.nextInt(running.size()));
        instance.schedule(1 + random.nextInt(MAX_LINK_DELAY_MS), () -> instance.place(prompt));
        long gap = Math.round(-Math.log(1 - random.nextDouble()) * 1_000 / fleet.requestsPerSecond());
        time.schedule(gap, this::send);
    }

    private void arrived(UpstreamId upstream, Instance instance) {
        long now = time.nowMillis();
        arrivals.merge(upstream, 1, Integer::sum);
        checker.arrived(upstream, instance, now - instance.startedMillis < fleet.contactMillis(), now);
        if (limited.contains(upstream) && now > endedMillis + NOTICE_MS) {
            checker.arrivedAfter();
        }
    }

    private void kill() {
        Instance killed = new ArrayList<>(instances.values()).get(random.nextInt(instances.size()));
        killed.running = false;
        time.schedule(DOWN_MS, () -> instances.put(killed.id, new Instance(killed.id)));
        time.schedule(fleet.killMillis(), this::kill);
    }

    private static FleetView view(LimitFleet fleet) {
        Map<UpstreamId, UpstreamEntry> upstreams = new HashMap<>();
        IntStream.range(0, fleet.upstreams())
                .mapToObj(i -> new UpstreamEntry(
                        new UpstreamId(String.format("upstream-%03d", i)),
                        1,
                        MODEL,
                        "127.0.0.1",
                        8_080,
                        DOMAIN,
                        new SoftwareVersion("v1"),
                        64,
                        false,
                        0))
                .forEach(entry -> upstreams.put(entry.id(), entry));
        List<InstanceId> ids = IntStream.range(0, fleet.instances())
                .mapToObj(i -> new InstanceId("instance-" + i))
                .sorted()
                .toList();
        Map<InstanceId, NetworkAddress> peers = new HashMap<>();
        ids.forEach(id -> peers.put(id, new NetworkAddress("127.0.0.1", 1)));
        return new FleetView(Optional.empty(), upstreams, Set.of(), ids, peers, Map.of());
    }
}
