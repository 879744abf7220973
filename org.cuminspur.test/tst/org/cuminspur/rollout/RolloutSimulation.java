package org.cuminspur.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;
import org.cuminspur.id.AccountId;
import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.Revision;
import org.cuminspur.id.RouteId;
import org.cuminspur.id.ServiceId;
import org.cuminspur.id.SoftwareVersion;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.store.StoreEntry;
import org.cuminspur.store.Txn;
import org.cuminspur.testing.KeyValueTable;
import org.cuminspur.testing.VirtualTime;
import org.cuminspur.traffic.ClientAccount;
import org.cuminspur.traffic.FleetUpdate;
import org.cuminspur.traffic.HostRoute;
import org.cuminspur.traffic.NetworkAddress;
import org.cuminspur.traffic.RequestKind;
import org.cuminspur.traffic.RequestLimits;
import org.cuminspur.traffic.ServiceLimits;
import org.cuminspur.traffic.TrafficBounds;
import org.cuminspur.traffic.TrafficConfig;
import org.cuminspur.traffic.UpstreamEntry;
import org.cuminspur.traffic.UpstreamState;
import org.cuminspur.traffic.WeightedService;

/**
 * A fleet that rolls out versions of one plain service, in virtual time: real decisions, a simulated store and servers that
 * answer after a time.
 */
final class RolloutSimulation {
    static final ServiceId SERVICE = new ServiceId("model");
    static final FailureDomainId DOMAIN = new FailureDomainId("milano");
    static final TrafficBounds BOUNDS = new TrafficBounds(5_000, 3_000, 2_000, 0.2, 52, 10_000, 1.5, 5, 2, 8_000);
    static final RolloutBounds ROLLOUT_BOUNDS = new RolloutBounds(0.1, 50);
    /** Time after its fiftieth bad answer from which a version may get nothing. */
    static final long ROLLBACK_MS = 5_000;

    static final RolloutKeys KEYS = RolloutSupport.NONE.keys();
    static final String ORDER_KEY = KEYS.order(SERVICE);
    static final long DURATION_MS = 12_000;
    static final long MAX_POLL_MS = 1_500;
    private static final int ROUTES = 3;
    private static final int SERVERS = 12;
    private static final long SERVER_START_MS = 800;

    /** Requests that each instance has had before an order; as many as make it know what answers take. */
    private static final long WARM_UP_REQUESTS = 36;

    /** One request that reached a server. */
    record Arrival(long atMillis, UpstreamId server, String version, boolean bad, boolean cut, boolean inTouch) {}

    private final VirtualTime time = new VirtualTime(1_000_000);
    private final KeyValueTable table = new KeyValueTable();
    private final Random random;
    private final Map<InstanceId, SimulatedRolloutInstance> instances =
            new TreeMap<>((a, b) -> a.value().compareTo(b.value()));
    private final Map<UpstreamId, Integer> loads = new HashMap<>();
    private final List<Arrival> arrivals = new ArrayList<>();
    private final double requestsPerSecond;
    private final double messageLoss;
    private final RolloutBounds bounds;
    CanaryPolicy policy = CanaryPolicy.BUDGET;
    UnaryOperator<RolloutAssessment> assessments = UnaryOperator.identity();
    boolean unconditionalWrites;
    private final List<String> statuses = new ArrayList<>();
    SimulatedVersions.Fault fault = SimulatedVersions.GOOD;
    SimulatedVersions.Fault servingFault = SimulatedVersions.GOOD;
    private long warmupMillis;
    private String target = "";
    private long orderMillis = Long.MAX_VALUE;
    private long stoppedMillis = Long.MAX_VALUE;
    private long refused;
    private long messages;

    RolloutSimulation(long seed, int size, double requestsPerSecond, double messageLoss) {
        this(seed, size, requestsPerSecond, messageLoss, ROLLOUT_BOUNDS);
    }

    RolloutSimulation(long seed, int size, double requestsPerSecond, double messageLoss, RolloutBounds bounds) {
        this.bounds = bounds;
        this.random = new Random(seed);
        this.requestsPerSecond = requestsPerSecond;
        this.messageLoss = messageLoss;
        put("config", "1");
        startServers("v1");
        IntStream.range(0, size).forEach(i -> put("instance/instance-" + i, "10.0.0." + i % 250 + ":" + (1_000 + i)));
        IntStream.range(0, size).forEach(i -> start("instance-" + i));
        time.advance(2_000);
        request();
        time.advance(Math.max(3_000, (long) (size * WARM_UP_REQUESTS * 1_000 / requestsPerSecond)));
    }

    RolloutBounds bounds() {
        return bounds;
    }

    VirtualTime time() {
        return time;
    }

    KeyValueTable table() {
        return table;
    }

    long messages() {
        return messages;
    }

    long refused() {
        return refused;
    }

    List<SimulatedRolloutInstance> instances() {
        return List.copyOf(instances.values());
    }

    SimulatedRolloutInstance start(String name) {
        InstanceId id = new InstanceId(name);
        SimulatedRolloutInstance instance = new SimulatedRolloutInstance(this, id, new Random(random.nextLong()));
        instances.put(id, instance);
        return instance;
    }

    /** Starts the servers of a version, one after the other. */
    void startServers(String version) {
        IntStream.range(0, SERVERS).forEach(i -> time.schedule(i * 10L, () -> startServer(version, i)));
    }

    private void startServer(String version, int number) {
        String value = version + (warmupMillis > 0 ? " " + warmupMillis : "");
        put("upstream/" + version + "-" + number, value);
        if (warmupMillis > 0) {
            time.schedule(warmupMillis, () -> put("upstream/" + version + "-" + number, version));
        }
    }

    /** Lets servers that start be cold for a time, in which they take few requests a second. */
    void warmUp(long millis, double requestsPerSecondOfAServer) {
        warmupMillis = millis;
        put("config", "2 " + millis + " " + requestsPerSecondOfAServer);
    }

    /** Removes the servers of a version. */
    void removeServers(String version) {
        IntStream.range(0, SERVERS).forEach(i -> remove("upstream/" + version + "-" + i));
    }

    /** Lets servers of any version answer from now on, whatever the status says. */
    void stopStopping() {
        stoppedMillis = Long.MAX_VALUE - 1;
    }

    /** Gives the order and starts the target's servers, as the platform does. */
    void order(String target, long durationMillis) {
        giveOrder(target, durationMillis);
        time.schedule(SERVER_START_MS, () -> startServers(target));
    }

    /** Gives the order; no server of the target starts. */
    void giveOrder(String version, long durationMillis) {
        target = version;
        orderMillis = time.nowMillis();
        put(ORDER_KEY, version + " " + durationMillis);
    }

    void put(String key, String value) {
        table.commit(new Txn(List.of(), List.of(Txn.Put.of(key, value)), List.of()));
    }

    void remove(String key) {
        table.commit(new Txn(List.of(), List.of(), List.of(key)));
    }

    /** Returns the state that operators read, empty before the first. */
    String status() {
        return table.range("status/" + SERVICE.value(), "").entries().stream()
                .map(StoreEntry::value)
                .findFirst()
                .orElse("");
    }

    /** Returns the states that operators could read, one after the other. */
    List<String> statuses() {
        return List.copyOf(statuses);
    }

    /** Advances the time; as soon as the target is completed, the other servers stop. */
    void advance(long millis) {
        for (long passed = 0; passed < millis; passed += 10) {
            time.advance(10);
            if (!status().isEmpty() && (statuses.isEmpty() || !status().equals(statuses.get(statuses.size() - 1)))) {
                statuses.add(status());
            }
            if (stoppedMillis == Long.MAX_VALUE && status().equals(RolloutPhase.COMPLETED.name())) {
                stoppedMillis = time.nowMillis();
                table.range("upstream/", "upstream0").entries().stream()
                        .filter(entry -> !entry.value().split(" ")[0].equals(target))
                        .map(StoreEntry::key)
                        .toList()
                        .forEach(this::remove);
            }
        }
    }

    /** Returns the time from the order until the servers in service were stopped, empty if they were not. */
    OptionalInt completedAfterMillis() {
        return stoppedMillis == Long.MAX_VALUE
                ? OptionalInt.empty()
                : OptionalInt.of((int) (stoppedMillis - orderMillis));
    }

    /** Returns what reached servers from the order to the limit, from instances in touch. */
    List<Arrival> duringRollout(long durationMillis) {
        return arrivals.stream()
                .filter(arrival ->
                        arrival.atMillis() >= orderMillis && arrival.atMillis() < orderMillis + durationMillis)
                .toList();
    }

    List<Arrival> arrivals() {
        return arrivals;
    }

    void deliver(InstanceId from, InstanceId to, RolloutMessage message) {
        messages++;
        SimulatedRolloutInstance sender = instances.get(from);
        if (random.nextDouble() >= messageLoss && !sender.cutOff()) {
            RolloutMessage read =
                    RolloutCodec.decode(RolloutCodec.encode(message)).orElseThrow();
            time.schedule(1 + random.nextInt(4), () -> instances.get(to).receive(from, read));
        }
    }

    void deliverToAll(InstanceId from, RolloutMessage message) {
        instances.keySet().stream().filter(id -> !id.equals(from)).forEach(to -> deliver(from, to, message));
    }

    /** Sends a request to an instance, and schedules the next. */
    private void request() {
        time.schedule(Math.max(1, (long) (-1_000 * Math.log(random.nextDouble()) / requestsPerSecond)), this::request);
        List<SimulatedRolloutInstance> all = instances.values().stream()
                .filter(SimulatedRolloutInstance::running)
                .toList();
        SimulatedRolloutInstance instance = all.get(random.nextInt(all.size()));
        int number = random.nextInt(ROUTES);
        RouteId route = new RouteId("route-" + number);
        Optional<UpstreamState> placed = instance.place(route, policy);
        if (placed.isEmpty()) {
            refused++;
            return;
        }
        send(instance, placed.get(), route, number);
    }

    private void send(SimulatedRolloutInstance instance, UpstreamState upstream, RouteId route, int number) {
        String version = upstream.entry().version().value();
        AnswerObserver observer = instance.observe(upstream, route);
        Object request = new Object();
        upstream.recordSent(request, time.nowMillis());
        int load = loads.merge(upstream.id(), 1, Integer::sum);
        SimulatedVersions.Answer usual = SimulatedVersions.usual(random);
        SimulatedVersions.Fault applied = version.equals("v1") ? servingFault : fault;
        long since = time.nowMillis() - orderMillis;
        SimulatedVersions.Answer answer = applied.apply(usual, number, since, load, random);
        long sent = time.nowMillis();
        boolean bad = answer.failed() || answer.millis() > 2 * usual.millis();
        time.schedule(answer.millis(), () -> {
            loads.merge(upstream.id(), -1, Integer::sum);
            boolean cut = !version.equals(target) && stoppedMillis < time.nowMillis();
            arrivals.add(new Arrival(sent, upstream.id(), version, bad, cut, !instance.cutOff()));
            if (answer.failed() || cut) {
                observer.failed();
            } else {
                observer.received(100, time.nowMillis());
                observer.completed(time.nowMillis());
            }
            upstream.recordEnded(request);
        });
    }

    static FleetUpdate decode(StoreEntry entry) {
        String[] key = entry.key().split("/");
        boolean removed = entry.value().isEmpty();
        return switch (key[0]) {
            case "config" ->
                new FleetUpdate.ConfigPublished(config(entry.value().split(" ")));
            case "upstream" ->
                removed
                        ? new FleetUpdate.UpstreamRemoved(new UpstreamId(key[1]))
                        : new FleetUpdate.UpstreamUpdated(upstream(key[1], entry.value()));
            case "instance" ->
                removed
                        ? new FleetUpdate.InstanceRemoved(new InstanceId(key[1]))
                        : new FleetUpdate.InstanceRegistered(
                                new InstanceId(key[1]), NetworkAddress.parse(entry.value()));
            case "order" -> new FleetUpdate.RolloutOrdered(SERVICE, order(entry.value()));
            case "cuminspur" -> record(key, entry.value(), removed);
            default -> new FleetUpdate.Irrelevant();
        };
    }

    private static Optional<RolloutOrder> order(String value) {
        if (value.isEmpty()) {
            return Optional.empty();
        }
        String[] fields = value.split(" ");
        return Optional.of(new RolloutOrder(SERVICE, new SoftwareVersion(fields[0]), Long.parseLong(fields[1])));
    }

    private static FleetUpdate record(String[] key, String value, boolean removed) {
        return key[1].equals("rollouts")
                ? new FleetUpdate.RolloutStored(
                        SERVICE, removed ? Optional.empty() : Optional.of(RolloutRecord.decode(SERVICE, value)))
                : new FleetUpdate.Irrelevant();
    }

    private static UpstreamEntry upstream(String id, String value) {
        String[] fields = value.split(" ");
        SoftwareVersion version = new SoftwareVersion(fields[0]);
        long warmup = fields.length > 1 ? Long.parseLong(fields[1]) : 0;
        return new UpstreamEntry(new UpstreamId(id), 1, SERVICE, "10.1.0.1", 80, DOMAIN, version, 16, false, warmup);
    }

    private static TrafficConfig config(String[] fields) {
        ServiceLimits limits = fields.length > 1
                ? new ServiceLimits(SERVICE, 500, Long.parseLong(fields[1]), Double.parseDouble(fields[2]))
                : new ServiceLimits(SERVICE, 500, 0, 0);
        List<HostRoute> routes = IntStream.range(0, ROUTES)
                .mapToObj(i -> new HostRoute(
                        new RouteId("route-" + i),
                        "host",
                        "/" + i + "/",
                        RequestKind.IDEMPOTENT,
                        List.of(new WeightedService(SERVICE, 1)),
                        5_000,
                        300,
                        1,
                        2,
                        true,
                        false,
                        false))
                .toList();
        return new TrafficConfig(
                new Revision(Long.parseLong(fields[0])),
                routes,
                Map.of(SERVICE, limits),
                Map.of("key", new ClientAccount(new AccountId("account"), OptionalInt.empty())),
                true,
                new RequestLimits(16_384, 4_194_304, 3_000, 15_000));
    }
}
