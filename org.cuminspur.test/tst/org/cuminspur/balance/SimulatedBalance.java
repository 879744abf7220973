package org.cuminspur.balance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.IntPredicate;
import java.util.function.IntUnaryOperator;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.ServiceId;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.internal.hash.Rendezvous;
import org.cuminspur.pace.Pace;
import org.cuminspur.pace.PaceWindow;
import org.cuminspur.testing.VirtualTime;
import org.cuminspur.traffic.FleetView;
import org.cuminspur.traffic.NetworkAddress;
import org.cuminspur.traffic.PromptPlacement;
import org.cuminspur.traffic.TrafficBounds;
import org.cuminspur.traffic.UpstreamProcessId;
import org.cuminspur.traffic.UpstreamState;

/**
 * Many instances before a few plain upstreams of few slots, whose machines are slow for a while by turns; in virtual time.
 *
 * <p>An upstream without a free slot turns requests away; the instance then tries another one, as the product does.
 */
final class SimulatedBalance {
    static final ServiceId SERVICE = new ServiceId("app");
    static final long AIM_MS = 336;
    static final long LIMIT_MS = 4_096;
    static final TrafficBounds BOUNDS = new TrafficBounds(5_000, 3_000, 2_000, 0.2, 52, 10_000, 1.5, 5, 2, 8_000);
    private static final List<FailureDomainId> DOMAINS = List.of(
            new FailureDomainId("a"), new FailureDomainId("b"), new FailureDomainId("c"), new FailureDomainId("d"));
    private static final int UPSTREAMS = 5;
    static final int SLOTS = 6;
    static final double WORK_MS = 69;
    private static final long LINK_MS = 4;
    private static final long NOISE_MS = 600;
    private static final int MAX_ATTEMPTS = 3;
    private static final int MAX_REPEATS = 10;
    private static final int ACCOUNTS = 24;
    private static final long POLL_MS = 20;

    /** When callers return who are refused without a time. */
    private static final long FREE_SLOT_MS = 350;

    final VirtualTime time = new VirtualTime(1_000_000);
    final Random random;
    private final Map<InstanceId, SimulatedBalanceInstance> instances =
            new TreeMap<>((a, b) -> a.value().compareTo(b.value()));
    final SimulatedPlainServers servers;
    final LoadTable shared;
    final Supplier<Pace> paces;
    private final FleetOutcomes outcomes = new FleetOutcomes();
    private IntUnaryOperator accounts = arrival -> arrival % ACCOUNTS;
    private IntUnaryOperator priorities = arrival -> 0;
    private boolean callersReturn;
    private IntPredicate repeatsAtOnce = account -> false;
    boolean errorsCountAsAnswers;
    private int arrivals;
    private double nextArrivalMillis;
    private double requestsPerSecond;
    final SimulatedLinks links;
    private final BalancePolicy policy;
    private int onlyDomain = -1;
    private OptionalInt stated = OptionalInt.empty();
    private long rejected;

    SimulatedBalance(long seed, int size, double requestsPerSecond, double messageLoss, BalancePolicy policy) {
        this(seed, size, requestsPerSecond, messageLoss, policy, PaceWindow::new);
    }

    SimulatedBalance(
            long seed,
            int size,
            double requestsPerSecond,
            double messageLoss,
            BalancePolicy policy,
            Supplier<Pace> paces) {
        this.random = new Random(seed);
        this.shared = new LoadTable(random::nextDouble, NoPace::new);
        this.paces = paces;
        this.requestsPerSecond = requestsPerSecond;
        this.links = new SimulatedLinks(time, random, messageLoss);
        this.policy = policy;
        Map<InstanceId, NetworkAddress> peers = new HashMap<>();
        IntStream.range(0, size)
                .mapToObj(i -> new SimulatedBalanceInstance(
                        new InstanceId("instance-" + i), DOMAINS.get(i % DOMAINS.size()), this))
                .forEach(instance -> {
                    instances.put(instance.id, instance);
                    peers.put(instance.id, new NetworkAddress("10.0.0.1", 1));
                });
        servers = new SimulatedPlainServers(UPSTREAMS, DOMAINS, random);
        FleetView view = new FleetView(
                Optional.empty(), servers.entries(), Set.of(), List.copyOf(instances.keySet()), peers, Map.of());
        instances.values().forEach(instance -> instance.update(view));
        change();
        nextArrivalMillis = time.nowMillis();
        arrive();
    }

    /** Lets all upstreams state the same figure for their speed, whatever it is. */
    void lie(int percent) {
        stated = OptionalInt.of(percent);
    }

    /** Takes an upstream down for a while, after which its caches are empty; its requests are answered before. */
    void restart(int number, long downMillis, int coldAnswers) {
        SimulatedPlainServer server = servers.server(number);
        server.down = true;
        time.schedule(downMillis, () -> {
            server.down = false;
            server.coldAnswers = coldAnswers;
            server.restartedMillis = time.nowMillis();
        });
    }

    /** Returns the time after its restart until an upstream was no longer paced, the longest time if it still is. */
    long fullUseMillis(int number, long maxMillis) {
        SimulatedPlainServer server = servers.server(number);
        long end = server.restartedMillis + maxMillis;
        while (time.nowMillis() < end
                && instances.values().stream()
                        .anyMatch(known -> known.balancer().paced() > 0)) {
            time.advance(POLL_MS);
        }
        return time.nowMillis() - server.restartedMillis;
    }

    /** Lets half of the requests come to the instances of one failure domain. */
    void shift() {
        onlyDomain = 0;
    }

    List<SimulatedBalanceInstance> instances() {
        return List.copyOf(instances.values());
    }

    /** Sets the account of each arrival by its number. */
    void accounts(IntUnaryOperator accountOfArrival) {
        accounts = accountOfArrival;
    }

    /** Sets the priority of each arrival by its number. */
    void priorities(IntUnaryOperator priorityOfArrival) {
        priorities = priorityOfArrival;
    }

    /** Lets the callers of some accounts repeat refused requests at once, whatever they are told. */
    void repeatAtOnce(IntPredicate accountsThatRepeat) {
        repeatsAtOnce = accountsThatRepeat;
    }

    /** Lets callers that are refused return once, when they are told. */
    void letCallersReturn() {
        callersReturn = true;
    }

    void load(double perSecond) {
        requestsPerSecond = perSecond;
    }

    long rejected() {
        return rejected;
    }

    double rejectedShare() {
        return rejected / (double) Math.max(1, all().requests);
    }

    double onTimeShare() {
        return all().onTimeShare();
    }

    long refused() {
        return all().refused;
    }

    RequestOutcomes all() {
        return outcomes.all;
    }

    RequestOutcomes account(int account) {
        return outcomes.account(account);
    }

    RequestOutcomes priority(int priority) {
        return outcomes.priority(priority);
    }

    /** Ends the arrivals and lets those in progress end. */
    void drain() {
        requestsPerSecond = 0;
        time.advance(2 * LIMIT_MS);
    }

    double messagesPerRequest() {
        return links.messages() / (double) Math.max(1, all().requests);
    }

    void send(InstanceId from, InstanceId to, BalanceMessage message) {
        BalanceMessage read = BalanceCodec.decode(BalanceCodec.encode(message)).orElseThrow();
        SimulatedBalanceInstance receiver = instances.get(to);
        links.send(from, to, () -> {
            if (receiver.running) {
                receiver.balancer().receive(from, read);
            }
        });
    }

    private void change() {
        servers.change();
        time.schedule(NOISE_MS, this::change);
    }

    private void arrive() {
        if (requestsPerSecond > 0) {
            nextArrivalMillis += -1_000 * Math.log(random.nextDouble()) / requestsPerSecond;
            time.schedule(Math.max(0, Math.round(nextArrivalMillis) - time.nowMillis()), this::arrive);
            request();
        }
    }

    private void request() {
        int arrival = arrivals++;
        SimulatedRequest request =
                new SimulatedRequest(accounts.applyAsInt(arrival), priorities.applyAsInt(arrival), time.nowMillis());
        outcomes.count(request, counted -> counted.requests++);
        attempt(anyInstance(), request);
    }

    /** Lets requests come at the same moment. */
    void requestAtOnce(int count) {
        IntStream.range(0, count).forEach(i -> request());
    }

    private SimulatedBalanceInstance anyInstance() {
        List<SimulatedBalanceInstance> running = instances.values().stream()
                .filter(instance -> instance.running)
                .filter(instance -> onlyDomain < 0
                        || random.nextBoolean()
                        || instance.domain().equals(DOMAINS.get(onlyDomain)))
                .toList();
        return running.get(random.nextInt(running.size()));
    }

    private void attempt(SimulatedBalanceInstance instance, SimulatedRequest request) {
        Supplier<List<UpstreamState>> candidates = () -> instance.placement.candidatesWithEjected(
                instance.pool.upstreams(SERVICE), criteria(request.tried), time.nowMillis());
        if (request.tried.size() >= MAX_ATTEMPTS || candidates.get().isEmpty()) {
            refuse(request, FREE_SLOT_MS);
            return;
        }
        policy.choose(instance, request, candidates, decision -> {
            if (!instance.running) {
                // Its callers have lost their connections and are not counted as answered.
                return;
            }
            if (decision instanceof BalanceDecision.Assigned assigned) {
                send(instance, assigned.upstream(), request);
            } else if (decision instanceof BalanceDecision.Rejected noRoom) {
                refuse(request, noRoom.retryAfterMillis());
            } else {
                refuse(request, FREE_SLOT_MS);
            }
        });
    }

    private void refuse(SimulatedRequest request, long retryAfterMillis) {
        if (repeatsAtOnce.test(request.account) && request.repeats++ < MAX_REPEATS) {
            request.tried.clear();
            time.schedule(LINK_MS, () -> attempt(anyInstance(), request));
        } else if (callersReturn && !request.returned) {
            request.returned = true;
            request.tried.clear();
            time.schedule(retryAfterMillis, () -> attempt(anyInstance(), request));
        } else {
            outcomes.count(request, counted -> counted.refused++);
        }
    }

    private void send(SimulatedBalanceInstance instance, UpstreamState upstream, SimulatedRequest request) {
        Object exchange = new Object();
        long sentMillis = time.nowMillis();
        upstream.recordSent(exchange, sentMillis);
        long link = upstream.entry().domain().equals(instance.domain()) ? 1 : LINK_MS;
        time.schedule(link, () -> {
            SimulatedPlainServer server = servers.server(upstream.id());
            if (server.down) {
                time.schedule(link, () -> {
                    upstream.recordEnded(exchange);
                    upstream.health().recordUnreachable(time.nowMillis());
                    instance.balancer().recordFailure(upstream);
                    request.tried.add(upstream.id());
                    attempt(instance, request);
                });
                return;
            }
            if (server.running >= SLOTS) {
                server.arrivals++;
                rejected++;
                time.schedule(link, () -> {
                    answered(instance, upstream, exchange, server, OptionalLong.empty());
                    request.tried.add(upstream.id());
                    attempt(instance, request);
                });
                return;
            }
            if (server.fails()) {
                time.schedule(link, () -> failed(instance, upstream, exchange, request));
                return;
            }
            server.arrived();
            time.schedule(Math.round(server.workMillis()), () -> {
                server.answered();
                upstream.health().recordSuccess();
                server.countSinceRestart(time.nowMillis() - sentMillis <= AIM_MS);
                time.schedule(link, () -> {
                    answered(instance, upstream, exchange, server, OptionalLong.of(time.nowMillis() - sentMillis));
                    complete(instance, request);
                });
            });
        });
    }

    private void failed(
            SimulatedBalanceInstance instance, UpstreamState upstream, Object exchange, SimulatedRequest request) {
        upstream.health().recordFailure(time.nowMillis());
        if (errorsCountAsAnswers) {
            answered(instance, upstream, exchange, servers.server(upstream.id()), OptionalLong.of(LINK_MS));
        } else {
            upstream.recordEnded(exchange);
            instance.balancer().recordError(upstream);
        }
        outcomes.count(request, counted -> counted.failed++);
    }

    private void complete(SimulatedBalanceInstance instance, SimulatedRequest request) {
        long tookMillis = time.nowMillis() - request.arrivedMillis;
        if (instance.running && tookMillis <= LIMIT_MS) {
            outcomes.count(request, counted -> {
                counted.served++;
                counted.onTime += tookMillis <= AIM_MS ? 1 : 0;
            });
        }
    }

    private void answered(
            SimulatedBalanceInstance instance,
            UpstreamState upstream,
            Object exchange,
            SimulatedPlainServer server,
            OptionalLong tookMillis) {
        upstream.recordEnded(exchange);
        upstream.recordReportedLoad(server.running, 0, time.nowMillis());
        int percent = stated.orElse(server.percent);
        UpstreamReport said = UpstreamReport.of(server.running, 0, OptionalInt.of(SLOTS), OptionalInt.of(percent));
        UpstreamReport report = tookMillis.isPresent() ? said.after(tookMillis.getAsLong()) : said;
        shared.report(UpstreamProcessId.of(upstream.entry()), report, time.nowMillis());
        instance.balancer().report(upstream, report);
    }

    static PromptPlacement.Criteria criteria(Set<UpstreamId> tried) {
        return new PromptPlacement.Criteria(
                OptionalLong.empty(), Optional.empty(), Optional.empty(), new HashSet<>(tried));
    }

    /** Returns the instances, the one that assigns all requests first. */
    List<SimulatedBalanceInstance> byRank() {
        List<SimulatedBalanceInstance> ranked = new ArrayList<>(instances.values());
        long key = Rendezvous.hash(SERVICE.value());
        ranked.sort((a, b) -> Long.compare(score(key, b), score(key, a)));
        return ranked;
    }

    private static long score(long key, SimulatedBalanceInstance instance) {
        return Rendezvous.mix(key, Rendezvous.hash(instance.id.value()));
    }
}
