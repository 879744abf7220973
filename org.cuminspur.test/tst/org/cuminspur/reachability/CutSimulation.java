package org.cuminspur.reachability;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
import org.cuminspur.testing.VirtualTime;
import org.cuminspur.traffic.FleetView;
import org.cuminspur.traffic.NetworkAddress;
import org.cuminspur.traffic.UpstreamEntry;

/**
 * Simulates instances that lose their links to upstreams while callers and other instances still reach them.
 *
 * <p>Not thread-safe. A busy service and one with few requests have the same number of upstreams, which crash and come
 * back now and then. Messages between instances may be lost.
 */
final class CutSimulation {
    static final ServiceId BUSY = new ServiceId("busy");
    static final ServiceId RARE = new ServiceId("rare");
    private static final int MESSAGE_MS = 2;
    private static final int CALLERS_PER_INSTANCE = 6;

    /** Share of requests for which a caller opens a new connection. */
    private static final double NEW_CONNECTION_SHARE = 0.15;

    private static final double REPEATABLE_SHARE = 0.5;
    private static final long TIMEOUT_MS = 4_000;
    private static final long CRASH_INTERVAL_MS = 5_000;
    private static final long DOWN_MS = 2_500;
    private static final long START_MS = 1_000_000;

    /** One start of an upstream's process. */
    record Upstream(UpstreamEntry entry, long downUntilMillis) {}

    /** A caller that keeps its connection to an instance. */
    private static final class Caller {
        private final FailureDomainId domain;
        private SimulatedInstance instance;

        Caller(FailureDomainId domain, SimulatedInstance instance) {
            this.domain = domain;
            this.instance = instance;
        }
    }

    private final CutFleet fleet;
    private final BiFunction<CutSimulation, SimulatedInstance, PathPolicy> policies;
    private final Random random;
    private final VirtualTime time = new VirtualTime(START_MS);
    private final CutChecker checker;
    private final List<Cut> cuts = new ArrayList<>();
    private final Map<InstanceId, SimulatedInstance> instances = new LinkedHashMap<>();
    private final List<Caller> callers = new ArrayList<>();
    private final Map<UpstreamId, Upstream> upstreams = new LinkedHashMap<>();
    private final FleetView view;

    CutSimulation(CutFleet fleet, BiFunction<CutSimulation, SimulatedInstance, PathPolicy> policies, long seed) {
        this.fleet = fleet;
        this.policies = policies;
        random = new Random(seed);
        checker = new CutChecker(fleet.contactMillis());
        IntStream.range(0, fleet.upstreams()).forEach(i -> {
            addUpstream(BUSY, i);
            addUpstream(RARE, i);
        });
        List<InstanceId> ids = IntStream.range(0, fleet.instances())
                .mapToObj(i -> new InstanceId(String.format("instance-%02d", i)))
                .toList();
        view = view(ids);
        ids.forEach(this::start);
        instances
                .values()
                .forEach(instance -> IntStream.range(0, CALLERS_PER_INSTANCE)
                        .forEach(i -> callers.add(new Caller(instance.domain, instance))));
        send(BUSY, fleet.requestsPerSecond());
        send(RARE, fleet.rareRequestsPerSecond());
        time.schedule(CRASH_INTERVAL_MS, this::crashUpstream);
    }

    CutChecker checker() {
        return checker;
    }

    VirtualTime time() {
        return time;
    }

    Random random() {
        return random;
    }

    FleetView view() {
        return view;
    }

    List<SimulatedInstance> instances() {
        return List.copyOf(instances.values());
    }

    void advance(long millis) {
        time.advance(millis);
    }

    /** Cuts instances off from services from now on. */
    Cut cut(Cut.Manner manner, Set<InstanceId> affected, Set<ServiceId> services, long forMillis) {
        Cut cut = new Cut(manner, affected, services, time.nowMillis(), time.nowMillis() + forMillis);
        cuts.add(cut);
        checker.add(cut);
        affected.forEach(id -> instances.get(id).cutBegan(cut));
        return cut;
    }

    /** Ends an instance; it starts again without memory. */
    void kill(InstanceId id, long downMillis) {
        instances.get(id).stop();
        time.schedule(downMillis, () -> start(id));
    }

    /** Returns how connections from an instance to a service are cut off now, if they are. */
    Optional<Cut.Manner> cutOf(InstanceId instance, ServiceId service) {
        return cuts.stream()
                .filter(cut -> cut.isCut(instance, service, time.nowMillis()))
                .map(Cut::manner)
                .findFirst();
    }

    boolean isDown(UpstreamEntry upstream) {
        return upstreams.get(upstream.id()).downUntilMillis() > time.nowMillis();
    }

    /** Delivers a message to another instance, unless it is lost or the instance is down. */
    void deliver(InstanceId to, Consumer<SimulatedInstance> handler) {
        if (cuts.isEmpty()) {
            checker.messageSentBeforeAnyCut();
        }
        if (random.nextDouble() >= fleet.messageLoss()) {
            call(to, handler);
        }
    }

    /** Passes a request or a response between instances. */
    void call(InstanceId to, Consumer<SimulatedInstance> handler) {
        time.schedule(1 + random.nextInt(MESSAGE_MS), () -> {
            SimulatedInstance receiver = instances.get(to);
            if (receiver.isRunning()) {
                handler.accept(receiver);
            }
        });
    }

    boolean isRunning(InstanceId id) {
        return instances.get(id).isRunning();
    }

    private void start(InstanceId id) {
        FailureDomainId domain =
                new FailureDomainId("domain-" + Integer.parseInt(id.value().substring(9)) % fleet.domains());
        SimulatedInstance instance = new SimulatedInstance(id, domain, this);
        instances.put(id, instance);
        instance.begin(policies.apply(this, instance));
    }

    private void send(ServiceId service, double perSecond) {
        Caller caller = callers.get(random.nextInt(callers.size()));
        if (!caller.instance.isRunning() || random.nextDouble() < NEW_CONNECTION_SHARE) {
            caller.instance = balance(caller.domain);
        }
        SimulatedRequest request = new SimulatedRequest(
                caller.instance.id, service, random.nextDouble() < REPEATABLE_SHARE, time.nowMillis(), TIMEOUT_MS);
        checker.sent(request);
        caller.instance.take(request);
        long gap = Math.round(-Math.log(1 - random.nextDouble()) * 1_000 / perSecond);
        time.schedule(gap, () -> send(service, perSecond));
    }

    /** Chooses an instance as the platform does: of those that are ready, of all if fewer than half are. */
    private SimulatedInstance balance(FailureDomainId domain) {
        List<SimulatedInstance> all = instances.values().stream()
                .filter(instance -> instance.domain.equals(domain) && instance.isRunning())
                .toList();
        List<SimulatedInstance> ready =
                all.stream().filter(instance -> instance.policy().ready()).toList();
        List<SimulatedInstance> used = 2 * ready.size() < all.size() ? all : ready;
        List<SimulatedInstance> running = used.isEmpty()
                ? instances().stream().filter(SimulatedInstance::isRunning).toList()
                : used;
        return running.get(random.nextInt(running.size()));
    }

    private void crashUpstream() {
        List<UpstreamId> ids = List.copyOf(upstreams.keySet());
        UpstreamId crashed = ids.get(random.nextInt(ids.size()));
        upstreams.put(crashed, new Upstream(upstreams.get(crashed).entry(), time.nowMillis() + DOWN_MS));
        instances.values().forEach(instance -> instance.upstreamEnded(crashed));
        time.schedule(CRASH_INTERVAL_MS, this::crashUpstream);
    }

    private void addUpstream(ServiceId service, int number) {
        UpstreamEntry entry = new UpstreamEntry(
                new UpstreamId(String.format("%s-%03d", service.value(), number)),
                1,
                service,
                "127.0.0.1",
                8_080,
                new FailureDomainId("domain-" + number % fleet.domains()),
                new SoftwareVersion("v1"),
                64,
                false,
                0);
        upstreams.put(entry.id(), new Upstream(entry, 0));
    }

    private FleetView view(List<InstanceId> ids) {
        Map<UpstreamId, UpstreamEntry> entries = new HashMap<>();
        upstreams.forEach((id, upstream) -> entries.put(id, upstream.entry()));
        Map<InstanceId, NetworkAddress> peers = new HashMap<>();
        ids.forEach(id -> peers.put(id, new NetworkAddress("127.0.0.1", 1)));
        return new FleetView(Optional.empty(), entries, Set.of(), ids, peers, Map.of());
    }
}
