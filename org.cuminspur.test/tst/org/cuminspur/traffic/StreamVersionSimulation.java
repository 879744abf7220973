package org.cuminspur.traffic;

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
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.SoftwareVersion;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.testing.VirtualTime;

/**
 * Simulates streams through many instances to servers of several software versions, while servers are replaced and
 * crash and instances are killed.
 *
 * <p>Not thread-safe. Instances hear of changes after delays of their own, and messages between them are delayed and
 * lost. A server that crashed may be back under its id before the instances hear of it. Each caller takes a broken stream
 * up once, at an instance that runs.
 */
final class StreamVersionSimulation {
    /** How an instance treats a stream that a caller resumes. */
    enum Policy {
        /** As the product does. */
        ORIGINS,
        /** Naive: as the product does, but without a confirmation of the view. */
        TRUSTS_VIEW,
        /** Naive: at any version. */
        ANY_VERSION,
        /** Naive: only where the instance itself saw the stream begin. */
        OWN_MEMORY
    }

    private static final long STREAM_TIMEOUT_MS = 15_000;
    static final int MAX_VIEW_DELAY_MS = 1_000;
    private static final int MAX_MESSAGE_DELAY_MS = 15;
    private static final int MAX_RETRY_DELAY_MS = 300;
    private static final long DOWN_MS = 1_000;
    private static final long DRAIN_MS = 2_000;

    private static final double SAME_ID_SHARE = 0.3;
    private static final int MAX_ATTEMPTS = 3;

    private final SimulatedStreamFleet fleet;
    private final Policy policy;
    final Random random;
    final VirtualTime time = new VirtualTime(1_000_000);
    private final Map<InstanceId, SimulatedStreamInstance> instances = new LinkedHashMap<>();
    private final Map<UpstreamId, SimulatedServer> servers = new LinkedHashMap<>();
    private final Map<UpstreamId, UpstreamEntry> published = new HashMap<>();
    private final SimulatedVersionRecord versionRecord = new SimulatedVersionRecord();
    long viewsSent;
    private int serversStarted;
    private final StreamVersionChecker checker = new StreamVersionChecker();
    private long messages;

    StreamVersionSimulation(SimulatedStreamFleet fleet, Policy policy, long seed) {
        this.fleet = fleet;
        this.policy = policy;
        this.random = new Random(seed);
        IntStream.range(0, fleet.servers())
                .forEach(i -> startServer(fleet.versions().get(0), Optional.empty()));
        time.advance(60_000);
        TrafficFixtures.instances(fleet.instances())
                .forEach(id -> instances.put(id, new SimulatedStreamInstance(id, this)));
        time.advance(SimulatedStreamInstance.CONTACT_MS);
        time.schedule(0, this::sendStream);
    }

    StreamVersionChecker checker() {
        return checker;
    }

    /** Returns the messages between instances for each stream that began. */
    double messagesPerStream() {
        return (double) messages / checker.begun();
    }

    void advance(long millis) {
        time.advance(millis);
    }

    /** Replaces a share of the servers of all versions by servers of one version, one after the other. */
    void release(String version, double share) {
        List<UpstreamId> old = servers.values().stream()
                .map(server -> server.entry)
                .filter(entry -> !entry.version().value().equals(version) && !entry.draining())
                .map(UpstreamEntry::id)
                .toList();
        int count = (int) Math.round(share * old.size());
        IntStream.range(0, count)
                .forEach(i -> time.schedule(i * 12_000L / Math.max(1, count), () -> {
                    startServer(version, Optional.empty());
                    drain(old.get(i));
                }));
    }

    /** Crashes a server, which comes back with any of the fleet's versions that serve, at times under its id. */
    void crashServer() {
        List<SimulatedServer> running =
                servers.values().stream().filter(server -> server.running).toList();
        SimulatedServer crashed = running.get(random.nextInt(running.size()));
        String version =
                running.get(random.nextInt(running.size())).entry.version().value();
        stop(crashed);
        Optional<UpstreamId> id =
                random.nextDouble() < SAME_ID_SHARE ? Optional.of(crashed.entry.id()) : Optional.empty();
        if (id.isEmpty()) {
            time.schedule(3 * DOWN_MS, () -> unpublish(crashed.entry));
        }
        boolean keepsVersion = id.isPresent() && !fleet.idsChangeVersion();
        String next = keepsVersion ? crashed.entry.version().value() : version;
        time.schedule(DOWN_MS, () -> startServer(next, id));
    }

    /** Kills instances, which start again without any memory. */
    void killInstances(int count) {
        List<SimulatedStreamInstance> running = new ArrayList<>(
                instances.values().stream().filter(instance -> instance.running).toList());
        IntStream.range(0, Math.min(count, running.size()))
                .forEach(i -> kill(running.remove(random.nextInt(running.size()))));
    }

    /** Puts instances out of step for a time. */
    void putOutOfStep(int count, OutOfStep how, long millis) {
        List<SimulatedStreamInstance> running = new ArrayList<>(
                instances.values().stream().filter(instance -> instance.running).toList());
        IntStream.range(0, Math.min(count, running.size()))
                .forEach(i -> running.remove(random.nextInt(running.size())).putOutOfStep(how, millis));
    }

    private void kill(SimulatedStreamInstance instance) {
        instance.running = false;
        time.schedule(DOWN_MS, () -> instances.put(instance.id, new SimulatedStreamInstance(instance.id, this)));
        servers.values()
                .forEach(server -> List.copyOf(server.streams).stream()
                        .filter(stream -> stream.instance == instance)
                        .forEach(stream -> {
                            server.streams.remove(stream);
                            cut(stream);
                        }));
    }

    private void startServer(String version, Optional<UpstreamId> id) {
        String name = id.map(UpstreamId::value).orElseGet(() -> String.format("server-%04d", serversStarted++));
        SimulatedServer server = new SimulatedServer(TrafficFixtures.upstream(name, time.nowMillis(), version));
        servers.put(server.entry.id(), server);
        publish(server.entry);
    }

    private void drain(UpstreamId id) {
        SimulatedServer server = servers.get(id);
        publish(TrafficFixtures.draining(server.entry));
        time.schedule(DRAIN_MS, () -> unpublish(server.entry));
        time.schedule(2 * DRAIN_MS, () -> stop(server));
    }

    private void stop(SimulatedServer server) {
        server.running = false;
        List<SimulatedStream> broken = List.copyOf(server.streams);
        server.streams.clear();
        broken.forEach(this::resumeWithinAnswer);
    }

    private void publish(UpstreamEntry entry) {
        UpstreamEntry previous = published.get(entry.id());
        if (previous == null || previous.startedMillis() <= entry.startedMillis()) {
            published.put(entry.id(), entry);
            tellInstances();
        }
    }

    private void unpublish(UpstreamEntry entry) {
        UpstreamEntry current = published.get(entry.id());
        if (current != null && current.startedMillis() == entry.startedMillis()) {
            published.remove(entry.id());
            tellInstances();
        }
    }

    private void tellInstances() {
        versionRecord.recordServing(published.values(), time.nowMillis());
        long number = ++viewsSent;
        FleetView view = view();
        instances
                .values()
                .forEach(instance ->
                        time.schedule(1 + random.nextInt(MAX_VIEW_DELAY_MS), () -> instance.apply(view, number)));
    }

    FleetView view() {
        Map<InstanceId, NetworkAddress> peers = new HashMap<>();
        TrafficFixtures.instances(fleet.instances()).forEach(id -> peers.put(id, new NetworkAddress("127.0.0.1", 1)));
        FleetView view =
                TrafficFixtures.view(fleet.instances(), published.values().toArray(UpstreamEntry[]::new));
        versionRecord.recordServing(published.values(), time.nowMillis());
        return new FleetView(
                view.routes(),
                view.upstreams(),
                Set.of(),
                view.instances(),
                peers,
                Map.of(),
                Map.of(TrafficFixtures.MODEL, versionRecord.stored(time.nowMillis())));
    }

    void deliver(SimulatedStreamInstance from, InstanceId to, StreamOriginMessage message) {
        messages++;
        if (random.nextDouble() >= fleet.messageLoss() && from.seesOthers()) {
            time.schedule(1 + random.nextInt(MAX_MESSAGE_DELAY_MS), () -> receive(from.id, to, message));
        }
    }

    private void receive(InstanceId from, InstanceId to, StreamOriginMessage message) {
        SimulatedStreamInstance receiver = instances.get(to);
        if (receiver == null || !receiver.running || !receiver.seesOthers()) {
            return;
        }
        if (receiver.stillMillis() > 0) {
            time.schedule(receiver.stillMillis(), () -> receive(from, to, message));
        } else {
            receiver.origins.receive(from, message);
        }
    }

    private void sendStream() {
        long durationMillis = 200 + random.nextInt(4_000);
        SimulatedStream stream = new SimulatedStream(checker.recordSent(), time.nowMillis() + durationMillis);
        runningInstance().ifPresent(instance -> begin(stream, instance));
        time.schedule(Math.round(1_000 / fleet.streamsPerSecond()), this::sendStream);
    }

    private void begin(SimulatedStream stream, SimulatedStreamInstance instance) {
        stream.instance = instance;
        send(stream, Optional.empty()).ifPresent(state -> time.schedule(100, () -> deliverFirstEvent(stream, state)));
    }

    private void deliverFirstEvent(SimulatedStream stream, UpstreamState state) {
        SimulatedStreamInstance instance = stream.instance;
        SimulatedServer server = servers.get(state.id());
        if (!instance.running || !server.streams.contains(stream)) {
            return;
        }
        checker.recordBegun();
        stream.began = server.entry.version();
        boolean replaced = instance.pool
                .find(state.id())
                .filter(current -> current != state)
                .isPresent();
        if (!replaced && !state.mayHaveRestarted(time.nowMillis())) {
            SoftwareVersion known = state.entry().version();
            stream.bound = Optional.of(known);
            instance.origins.record(stream.id, new StreamOrigin(TrafficFixtures.MODEL, known), STREAM_TIMEOUT_MS);
        }
        endLater(stream, server);
    }

    private void endLater(SimulatedStream stream, SimulatedServer server) {
        time.schedule(stream.endMillis - time.nowMillis(), () -> {
            stream.ended = true;
            server.streams.remove(stream);
        });
    }

    /** Sends a request for a stream to an upstream, empty if none takes it. */
    private Optional<UpstreamState> send(SimulatedStream stream, Optional<SoftwareVersion> version) {
        Set<UpstreamId> tried = new HashSet<>();
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            SimulatedStreamInstance instance = stream.instance;
            PromptPlacement.Criteria criteria = new PromptPlacement.Criteria(
                    OptionalLong.empty(), Optional.empty(), Optional.empty(), tried, version);
            Optional<UpstreamState> chosen = instance.placement
                    .choose(instance.pool.upstreams(TrafficFixtures.MODEL), criteria, time.nowMillis())
                    .map(PlacementDecision::upstream);
            if (chosen.isEmpty()) {
                return Optional.empty();
            }
            SimulatedServer server = servers.get(chosen.get().id());
            if (server.running) {
                server.streams.add(stream);
                return chosen;
            }
            chosen.get().recordUnreachable(time.nowMillis());
            tried.add(chosen.get().id());
        }
        return Optional.empty();
    }

    private void resumeWithinAnswer(SimulatedStream stream) {
        if (stream.ended || stream.began == null || !stream.instance.running) {
            return;
        }
        if (policy != Policy.ANY_VERSION && stream.bound.isEmpty()) {
            cut(stream);
            return;
        }
        send(stream, policy == Policy.ANY_VERSION ? Optional.empty() : stream.bound)
                .ifPresentOrElse(state -> goOn(stream, state), () -> cut(stream));
    }

    private void goOn(SimulatedStream stream, UpstreamState state) {
        SimulatedServer server = servers.get(state.id());
        if (!server.entry.version().equals(stream.began) && !stream.mixed) {
            stream.mixed = true;
            checker.recordMixed();
        }
        endLater(stream, server);
    }

    /** The caller's answer is cut, and it takes the stream up again once. */
    private void cut(SimulatedStream stream) {
        if (!stream.ended && stream.began != null && !stream.resumedByCaller) {
            stream.resumedByCaller = true;
            time.schedule(
                    1 + random.nextInt(MAX_RETRY_DELAY_MS),
                    () -> runningInstance()
                            .ifPresent(instance ->
                                    time.schedule(instance.stillMillis(), () -> resumeByCaller(stream, instance))));
        }
    }

    private void resumeByCaller(SimulatedStream stream, SimulatedStreamInstance instance) {
        long sameVersion = servers.values().stream()
                .filter(server -> server.running && server.entry.version().equals(stream.began))
                .filter(server -> Optional.ofNullable(published.get(server.entry.id()))
                        .filter(entry -> !entry.draining())
                        .isPresent())
                .count();
        boolean counted = sameVersion >= 2 && instance.inTouch();
        if (counted) {
            checker.recordResumed();
        }
        stream.instance = instance;
        findOrigin(stream, instance, version -> {
            if (instance.running) {
                version.flatMap(known -> send(stream, known)).ifPresent(state -> {
                    if (counted) {
                        checker.recordWentOn();
                    }
                    goOn(stream, state);
                });
            }
        });
    }

    /** Passes on empty if the stream must not go on, otherwise the version to which it is bound, if to any. */
    private void findOrigin(
            SimulatedStream stream,
            SimulatedStreamInstance instance,
            Consumer<Optional<Optional<SoftwareVersion>>> result) {
        if (policy == Policy.ANY_VERSION) {
            result.accept(Optional.of(Optional.empty()));
        } else if (policy == Policy.OWN_MEMORY) {
            result.accept(Optional.empty());
        } else {
            instance.origins.find(
                    stream.id,
                    origin -> origin.map(StreamOrigin::version)
                            .ifPresentOrElse(
                                    version -> result.accept(Optional.of(Optional.of(version))),
                                    () -> findOnlyVersion(instance, result)));
        }
    }

    private void findOnlyVersion(
            SimulatedStreamInstance instance, Consumer<Optional<Optional<SoftwareVersion>>> result) {
        Consumer<Boolean> confirmed = holds -> result.accept(
                (holds ? instance.origins.onlyVersion(TrafficFixtures.MODEL) : Optional.<SoftwareVersion>empty())
                        .map(Optional::of));
        if (policy == Policy.TRUSTS_VIEW) {
            confirmed.accept(true);
        } else {
            instance.confirm(confirmed);
        }
    }

    private Optional<SimulatedStreamInstance> runningInstance() {
        List<SimulatedStreamInstance> running =
                instances.values().stream().filter(instance -> instance.running).toList();
        return running.isEmpty() ? Optional.empty() : Optional.of(running.get(random.nextInt(running.size())));
    }
}
