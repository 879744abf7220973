package org.cuminspur.traffic;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.internal.hash.Rendezvous;
import org.cuminspur.testing.VirtualTime;

/**
 * Simulates many instances that place requests with shared prompts on the same upstreams.
 *
 * <p>Not thread-safe. Each instance has its own pool and placement, hears of changes of the fleet after a delay of its
 * own, and gets load reports only with the responses to its own requests. Load notices between instances are delayed
 * and sometimes lost.
 */
final class PromptFleetSimulation {
    private static final List<FailureDomainId> DOMAINS =
            List.of(TrafficFixtures.MILANO, TrafficFixtures.TORINO, new FailureDomainId("verona"));
    private static final long WARMUP_MS = 3_000;
    private static final long DRAIN_MS = 4_000;
    private static final int MAX_VIEW_DELAY_MS = 1_500;
    private static final long REBALANCE_INTERVAL_MS = 10_000;
    private static final int REBALANCE_BUCKETS = 10;
    private static final double NOTICE_LOSS = 0.05;
    private static final int MAX_NOTICE_DELAY_MS = 20;
    private static final int CLUMP = 3;
    private static final double SKEW_EXPONENT = 1.4;
    private static final double SECOND_MS = 1_000;

    /**
     * A kind of request; immutable.
     *
     * @param share its share of all requests
     * @param prompts number of shared prompts
     * @param firstByteMillis mean time to the first byte of the response
     * @param restMillis mean time from there to the end of the response
     */
    record Kind(double share, int prompts, double firstByteMillis, double restMillis) {}

    /**
     * Size and load of a fleet; immutable.
     *
     * @param reportAgeMillis age of the load that a response reports
     */
    record Deployment(
            String name,
            int instances,
            int upstreams,
            double requestsPerSecond,
            long reportAgeMillis,
            List<Kind> kinds) {
        /** Returns this deployment with responses that report the load at their start. */
        Deployment withFreshReports() {
            return new Deployment(name + "-fresh", instances, upstreams, requestsPerSecond, 0, kinds);
        }

        @Override
        public String toString() {
            return name;
        }
    }

    private static final class Instance {
        private final UpstreamPool pool;
        private final PromptPlacement placement;
        private final LoadNoticePolicy notices = new LoadNoticePolicy();
        private PromptTable table = PromptTable.EMPTY;

        Instance(int number, Random random) {
            pool = new UpstreamPool(new InstanceId("instance-" + number), TrafficFixtures.BOUNDS, gone -> {});
            placement = new PromptPlacement(
                    DOMAINS.get(number % DOMAINS.size()), TrafficFixtures.BOUNDS.loadFactor(), random::nextDouble);
        }
    }

    private final Deployment deployment;
    private final Random random;
    private final VirtualTime time = new VirtualTime(1_000_000);
    private final LoadBoundChecker checker = new LoadBoundChecker(TrafficFixtures.BOUNDS.loadFactor());
    private final List<Instance> instances;
    private final Map<UpstreamId, UpstreamEntry> entries = new TreeMap<>();
    private final Map<UpstreamId, SimulatedLoad> loads = new TreeMap<>();
    private PromptTable table = PromptTable.EMPTY;
    private Set<FailureDomainId> drainedDomains = Set.of();
    private int upstreamsStarted;
    private long placed;
    private long placedOnOwner;

    PromptFleetSimulation(Deployment deployment, long seed) {
        this.deployment = deployment;
        this.random = new Random(seed);
        instances = IntStream.range(0, deployment.instances())
                .mapToObj(number -> new Instance(number, random))
                .toList();
        IntStream.range(0, deployment.upstreams()).forEach(i -> startUpstream(0));
        table = table.reassigned(inService());
        FleetView view = view();
        instances.forEach(instance -> apply(instance, view, table));
        time.schedule(0, this::sendClump);
        time.scheduleRepeating(REBALANCE_INTERVAL_MS, this::rebalance);
    }

    LoadBoundChecker checker() {
        return checker;
    }

    /** Returns the share of requests that were placed on the owner of their prompt. */
    double ownerShare() {
        return (double) placedOnOwner / placed;
    }

    void advance(long millis) {
        time.advance(millis);
    }

    /** Starts an upstream, which is cold at first. */
    void join() {
        UpstreamEntry entry = startUpstream(WARMUP_MS);
        publish();
        time.schedule(WARMUP_MS, () -> {
            entries.computeIfPresent(
                    entry.id(),
                    (id, current) ->
                            current.draining() ? current : TrafficFixtures.upstream(id.value(), current.domain(), 0));
            publish();
        });
    }

    /** Drains the upstream that was started first. */
    void drainOldest() {
        UpstreamEntry oldest = entries.values().stream()
                .filter(entry -> !entry.draining())
                .min(Comparator.comparing(UpstreamEntry::id))
                .orElseThrow();
        entries.put(oldest.id(), TrafficFixtures.draining(oldest));
        publish();
        time.schedule(DRAIN_MS, () -> {
            entries.remove(oldest.id());
            publish();
        });
    }

    /** Takes a third of the upstreams, a failure domain, out of service. */
    void drainDomain() {
        drainedDomains = Set.of(TrafficFixtures.TORINO);
        publish();
    }

    /** Brings the failure domain back into service; its upstreams are then cold. */
    void restoreDomain() {
        drainedDomains = Set.of();
        publish();
    }

    private UpstreamEntry startUpstream(long remainingWarmupMillis) {
        int number = upstreamsStarted++;
        UpstreamEntry entry = TrafficFixtures.upstream(
                String.format("upstream-%04d", number), DOMAINS.get(number % DOMAINS.size()), remainingWarmupMillis);
        entries.put(entry.id(), entry);
        loads.put(entry.id(), new SimulatedLoad(deployment.reportAgeMillis()));
        return entry;
    }

    private Set<UpstreamId> inService() {
        return entries.values().stream()
                .filter(entry -> !entry.draining() && !drainedDomains.contains(entry.domain()))
                .map(UpstreamEntry::id)
                .collect(Collectors.toSet());
    }

    private FleetView view() {
        FleetView serving =
                TrafficFixtures.view(deployment.instances(), entries.values().toArray(UpstreamEntry[]::new));
        return new FleetView(
                serving.routes(),
                serving.upstreams(),
                drainedDomains,
                serving.instances(),
                Map.of(),
                Map.of(TrafficFixtures.MODEL, table));
    }

    /** Tells the instances of the fleet's upstreams, each after a delay of its own. */
    private void publish() {
        table = table.reassigned(inService());
        FleetView view = view();
        PromptTable published = table;
        instances.forEach(instance ->
                time.schedule(1 + random.nextInt(MAX_VIEW_DELAY_MS), () -> apply(instance, view, published)));
    }

    private void apply(Instance instance, FleetView view, PromptTable newTable) {
        instance.pool.update(view, time.nowMillis());
        instance.table = newTable;
    }

    private boolean rebalance() {
        table = table.rebalanced(inService(), REBALANCE_BUCKETS);
        publish();
        return true;
    }

    private void sendClump() {
        IntStream.range(0, CLUMP).forEach(i -> send());
        double meanGapMillis = CLUMP * SECOND_MS / deployment.requestsPerSecond();
        time.schedule(Math.round(exponential(meanGapMillis)), this::sendClump);
    }

    private void send() {
        int kindNumber = kindNumber(random.nextDouble());
        Kind kind = deployment.kinds().get(kindNumber);
        // Some prompts are more popular than others.
        long prompt = (long) (kind.prompts() * Math.pow(random.nextDouble(), SKEW_EXPONENT));
        long key = Rendezvous.mix(prompt, kindNumber);
        Instance instance = instances.get(random.nextInt(instances.size()));
        PromptPlacement.Criteria criteria = new PromptPlacement.Criteria(
                OptionalLong.of(key), Optional.of(instance.table.owner(key)), Optional.empty(), Set.of());
        instance.placement
                .choose(instance.pool.upstreams(TrafficFixtures.MODEL), criteria, time.nowMillis())
                .ifPresent(decision -> serve(instance, decision, kind));
    }

    private int kindNumber(double draw) {
        double sum = 0;
        for (int number = 0; number < deployment.kinds().size(); number++) {
            sum += deployment.kinds().get(number).share();
            if (draw < sum) {
                return number;
            }
        }
        return deployment.kinds().size() - 1;
    }

    private void serve(Instance instance, PlacementDecision decision, Kind kind) {
        UpstreamState state = decision.upstream();
        SimulatedLoad load = loads.get(state.id());
        Object request = new Object();
        placed++;
        placedOnOwner += decision.reason() == PlacementDecision.Reason.PROMPT ? 1 : 0;
        checker.recordArrival(load.held(), meanHeld(), time.nowMillis());
        load.add(1, time.nowMillis());
        state.recordSent(request, time.nowMillis());
        long firstByteMillis = Math.round(kind.firstByteMillis() * (0.5 + random.nextDouble()));
        time.schedule(firstByteMillis, () -> {
            state.recordResponseStarted(request);
            report(instance, state, load.reported(time.nowMillis()));
        });
        time.schedule(firstByteMillis + Math.round(exponential(kind.restMillis())), () -> {
            state.recordEnded(request);
            load.add(-1, time.nowMillis());
        });
    }

    private void report(Instance instance, UpstreamState state, int load) {
        state.recordReportedLoad(load, 0, time.nowMillis());
        double limit = instance.placement.loadLimit(instance.pool.upstreams(TrafficFixtures.MODEL), time.nowMillis());
        instance.notices
                .noticeOf(state, load, limit, time.nowMillis())
                .ifPresent(notice -> instances.stream()
                        .filter(other -> other != instance && random.nextDouble() >= NOTICE_LOSS)
                        .forEach(other ->
                                time.schedule(1 + random.nextInt(MAX_NOTICE_DELAY_MS), () -> receive(other, notice))));
    }

    private void receive(Instance instance, LoadNotice notice) {
        instance.pool
                .find(notice.upstream())
                .ifPresent(state -> instance.notices.recordReceived(state, notice, time.nowMillis()));
    }

    private double meanHeld() {
        return entries.keySet().stream()
                .mapToInt(id -> loads.get(id).held())
                .average()
                .orElse(0);
    }

    private double exponential(double mean) {
        return -mean * Math.log(1 - random.nextDouble());
    }
}
