package org.cuminspur.reachability;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.cuminspur.event.EventSink;
import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.ServiceId;
import org.cuminspur.time.Clock;
import org.cuminspur.time.Timer;
import org.cuminspur.traffic.FleetView;
import org.cuminspur.traffic.UpstreamEntry;
import org.cuminspur.traffic.UpstreamProcessId;

/**
 * Finds out whether this instance is cut off from a service, and through which others its requests go meanwhile.
 *
 * <p>Not thread-safe; confined to the traffic thread. A connection that fails, or silence while requests wait, begins an
 * inquiry: connections to other upstreams are tried, and if most fail, other instances are asked which of these upstreams
 * they reach. This instance is cut off if they reach what it does not; without their word the upstreams may as well be
 * down, and requests keep to the own path. While nothing fails no message is sent.
 */
public final class PathMonitor {
    /** Time without a byte of a service, while a request waits for one, that begins an inquiry. */
    public static final long SILENCE_MS = 1_000;

    /** Longest time for which {@link #whenSettled} waits. */
    static final long SETTLE_MS = 1_000;

    /** Time between the rounds of an inquiry. */
    private static final long ROUND_MS = 250;

    /** Rounds after which they come less often, unless this instance is cut off. */
    private static final int FREQUENT_ROUNDS = 12;

    private static final long RARE_ROUND_MS = 2_000;

    private static final int PROBES_PER_ROUND = 4;

    /** Age from which what is known of a path is found out again for another instance. */
    private static final long STALE_MS = 500;

    /** Instances that are asked in a round, among them some that are known to reach the service. */
    private static final int QUERIES_PER_ROUND = 8;

    private static final int KNOWN_QUERIES_PER_ROUND = 4;

    /** What the monitor asks of its instance. */
    public interface Host {
        /** Opens a connection to an upstream, the outcome of which is to be recorded. */
        void probe(UpstreamEntry upstream);

        /** Sends a message to another instance, perhaps in vain. */
        void send(InstanceId to, PathMessage message);

        /** Handles that this instance is cut off from a service. */
        void cutOff(ServiceId service);
    }

    private final InstanceId self;
    private final FailureDomainId domain;
    private final Clock clock;
    private final Timer timer;
    private final Random random;
    private final Host host;
    private final EventSink events;
    private final RelayDirectory relays;
    private final Map<ServiceId, ServicePath> services = new HashMap<>();
    private List<InstanceId> others = List.of();

    /**
     * Creates a monitor that knows no upstream.
     *
     * @param clock never goes back
     */
    public PathMonitor(
            InstanceId self,
            FailureDomainId domain,
            Clock clock,
            Timer timer,
            Random random,
            Host host,
            EventSink events) {
        this.self = self;
        this.domain = domain;
        this.clock = clock;
        this.timer = timer;
        this.random = random;
        this.host = host;
        this.events = events;
        this.relays = new RelayDirectory(domain, random);
    }

    /** Applies a newer view of the fleet. */
    public void update(FleetView view) {
        others = view.peers().keySet().stream()
                .filter(id -> !id.equals(self))
                .sorted()
                .toList();
        relays.retain(Set.copyOf(others));
        Map<ServiceId, List<UpstreamEntry>> entries =
                view.upstreams().values().stream().collect(Collectors.groupingBy(UpstreamEntry::service));
        services.keySet().retainAll(entries.keySet());
        entries.forEach((service, members) -> services.computeIfAbsent(service, id -> new ServicePath(clock.millis()))
                .update(members));
    }

    /** Records that a connection to an upstream was made. */
    public void connected(UpstreamEntry upstream) {
        find(upstream).ifPresent(path -> path.recordConnected(clock.millis()));
        service(upstream.service()).filter(ServicePath::isInquiring).ifPresent(service -> {
            boolean cutOff = service.state() == PathState.CUT_OFF;
            assess(upstream.service(), service);
            if (cutOff) {
                probe(service);
            }
        });
    }

    /**
     * Records that no connection to an upstream was made.
     *
     * @param startedMillis when the attempt began
     */
    public void connectFailed(UpstreamEntry upstream, long startedMillis) {
        find(upstream).ifPresent(path -> path.recordFailed(startedMillis, clock.millis()));
        service(upstream.service()).ifPresent(service -> {
            beginInquiry(upstream.service(), service);
            assess(upstream.service(), service);
        });
    }

    /** Records that bytes of an upstream arrived. */
    public void received(UpstreamEntry upstream) {
        find(upstream).ifPresent(path -> path.recordReceived(clock.millis()));
    }

    /** Records that a request to a service waits for {@link #SILENCE_MS}; an inquiry begins if the whole service is silent. */
    public void requestsWait(ServiceId id) {
        service(id).filter(service -> service.isSilent(clock.millis())).ifPresent(service -> beginInquiry(id, service));
    }

    /** Returns what is believed of the path to a service. */
    public PathState state(ServiceId service) {
        return service(service).map(ServicePath::state).orElse(PathState.REACHABLE);
    }

    /** Returns whether the next request to a service is sent to an upstream from here. */
    public boolean usesOwnPath(ServiceId id) {
        return service(id)
                .map(service -> switch (service.state()) {
                    case REACHABLE, DOUBTFUL -> true;
                    case CUT_OFF -> false;
                    case RETURNING -> random.nextDouble() < service.returnedShare(clock.millis());
                })
                .orElse(true);
    }

    /**
     * Returns the instance that a request goes through, empty if none is known.
     *
     * @param tried instances that could not serve it
     */
    public Optional<InstanceId> relay(ServiceId service, Set<InstanceId> tried) {
        return relays.choose(service, tried, clock.millis());
    }

    /** Records that a request goes through an instance. */
    public void relayStarted(InstanceId relay) {
        relays.recordStarted(relay);
    }

    /** Records that a request that went through an instance has ended. */
    public void relayEnded(InstanceId relay) {
        relays.recordEnded(relay);
    }

    /** Records that an instance could not serve a request to a service. */
    public void relayFailed(ServiceId service, InstanceId relay) {
        relays.recordFailed(service, relay, clock.millis());
    }

    /**
     * Passes on what is believed of the path to a service once an inquiry has settled it, or after a second.
     *
     * @param result receives {@link PathState#REACHABLE} only if other upstreams took connections meanwhile
     */
    public void whenSettled(ServiceId id, Consumer<PathState> result) {
        Optional<ServicePath> service = service(id).filter(ServicePath::isInquiring);
        if (service.isEmpty()) {
            result.accept(state(id));
            return;
        }
        service.get().await(result);
        timer.schedule(SETTLE_MS, () -> service.get().settle(result));
    }

    /** Handles a message of another instance. */
    public void receive(InstanceId from, PathMessage message) {
        if (message instanceof PathMessage.Query query) {
            service(query.service()).ifPresent(service -> answer(from, query, service));
        } else if (message instanceof PathMessage.Report report) {
            service(report.service()).ifPresent(service -> learn(from, report, service));
        }
    }

    private void answer(InstanceId to, PathMessage.Query query, ServicePath service) {
        long now = clock.millis();
        boolean trusted = service.state() == PathState.REACHABLE;
        List<UpstreamPath> asked = query.upstreams().stream()
                .limit(PathCodec.MAX_UPSTREAMS)
                .flatMap(upstream -> service.find(upstream).stream())
                .filter(path -> trusted)
                .toList();
        List<PathMessage.ReachedUpstream> reached = asked.stream()
                .filter(path -> path.reachedMillis() != UpstreamPath.NEVER && !path.isFailing())
                .map(path -> new PathMessage.ReachedUpstream(
                        UpstreamProcessId.of(path.upstream()), now - path.reachedMillis()))
                .toList();
        List<PathMessage.ReachingInstance> known = relays.fresh(query.service(), now).stream()
                .filter(other -> !other.instance().equals(to))
                .limit(PathCodec.MAX_INSTANCES)
                .toList();
        host.send(to, new PathMessage.Report(query.service(), domain, reached, known));
        asked.stream()
                .filter(path -> now - Math.max(path.reachedMillis(), path.triedMillis()) >= STALE_MS)
                .filter(path -> !path.isProbing(now))
                .limit(PROBES_PER_ROUND)
                .forEach(this::probe);
    }

    private void learn(InstanceId from, PathMessage.Report report, ServicePath service) {
        long now = clock.millis();
        report.reached()
                .forEach(reached -> service.find(reached.upstream())
                        .ifPresent(path -> path.recordReachedByOther(now - reached.ageMillis())));
        report.reached().stream()
                .mapToLong(PathMessage.ReachedUpstream::ageMillis)
                .min()
                .ifPresent(age -> relays.recordReached(report.service(), from, report.domain(), now - age));
        report.others().stream()
                .filter(other -> others.contains(other.instance()))
                .forEach(other -> relays.recordReached(
                        report.service(), other.instance(), other.domain(), now - other.ageMillis()));
        if (service.isInquiring()) {
            assess(report.service(), service);
        }
    }

    private void beginInquiry(ServiceId id, ServicePath service) {
        if (!service.isInquiring()) {
            round(id, service, service.beginInquiry(clock.millis()));
        }
    }

    private void round(ServiceId id, ServicePath service, int inquiry) {
        if (!service.isInquiry(inquiry)) {
            return;
        }
        if (services.get(id) != service) {
            service.settleAll();
            return;
        }
        int before = service.nextRound();
        probe(service);
        if (service.mostFail(clock.millis()) || service.state() != PathState.REACHABLE) {
            query(id, service);
        }
        assess(id, service);
        boolean frequent = before < FREQUENT_ROUNDS
                || service.state() == PathState.CUT_OFF
                || service.state() == PathState.RETURNING;
        timer.schedule(frequent ? ROUND_MS : RARE_ROUND_MS, () -> round(id, service, inquiry));
    }

    private void probe(ServicePath service) {
        service.longestUntried(PROBES_PER_ROUND, ROUND_MS, clock.millis()).forEach(this::probe);
    }

    private void probe(UpstreamPath path) {
        path.recordProbe(clock.millis());
        host.probe(path.upstream());
    }

    /** Asks instances that are known to reach the service and others, drawn anew in each round. */
    private void query(ServiceId id, ServicePath service) {
        List<UpstreamProcessId> failing = service.failing();
        List<UpstreamProcessId> asked = failing.subList(0, Math.min(PathCodec.MAX_UPSTREAMS, failing.size()));
        Set<InstanceId> targets = relays.fresh(id, clock.millis()).stream()
                .limit(KNOWN_QUERIES_PER_ROUND)
                .map(PathMessage.ReachingInstance::instance)
                .collect(Collectors.toCollection(LinkedHashSet::new));
        List<InstanceId> drawn = new ArrayList<>(others);
        Collections.shuffle(drawn, random);
        targets.addAll(drawn);
        targets.stream().limit(QUERIES_PER_ROUND).forEach(to -> host.send(to, new PathMessage.Query(id, asked)));
    }

    private void assess(ServiceId id, ServicePath service) {
        long now = clock.millis();
        boolean relayKnown = relays.hasFresh(id, now);
        PathState next = switch (service.state()) {
            case REACHABLE -> service.mostFail(now) ? failing(service, relayKnown) : PathState.REACHABLE;
            case DOUBTFUL -> service.mostConnect(now) ? PathState.REACHABLE : failing(service, relayKnown);
            case CUT_OFF ->
                service.mostConnect(now) ? PathState.RETURNING : relayKnown ? PathState.CUT_OFF : PathState.DOUBTFUL;
            case RETURNING ->
                service.mostFail(now)
                        ? relayKnown ? PathState.CUT_OFF : PathState.DOUBTFUL
                        : service.returnedShare(now) >= 1 ? PathState.REACHABLE : PathState.RETURNING;
        };
        boolean settled = next != PathState.REACHABLE || service.mostConnect(now);
        if (next != service.state() || (next == PathState.REACHABLE && settled)) {
            enter(id, service, next);
        }
    }

    private PathState failing(ServicePath service, boolean relayKnown) {
        long now = clock.millis();
        return relayKnown && service.mostFail(now) && service.othersReach(now) ? PathState.CUT_OFF : PathState.DOUBTFUL;
    }

    private void enter(ServiceId id, ServicePath service, PathState next) {
        PathState before = service.state();
        long now = clock.millis();
        if (before != next) {
            events.emit(
                    "service-path",
                    "service",
                    id.value(),
                    "state",
                    next.label(),
                    "before",
                    before.label(),
                    "beforeMillis",
                    now - service.sinceMillis(),
                    "failing",
                    service.failing().size(),
                    "connected",
                    service.connected(now),
                    "upstreams",
                    service.size(),
                    "relays",
                    relays.fresh(id, now).size());
        }
        service.enter(next, now);
        if (next == PathState.REACHABLE || next == PathState.CUT_OFF) {
            service.settleAll();
        }
        if (next == PathState.CUT_OFF) {
            host.cutOff(id);
            services.forEach(this::beginInquiry);
        }
    }

    private Optional<ServicePath> service(ServiceId id) {
        return Optional.ofNullable(services.get(id));
    }

    private Optional<UpstreamPath> find(UpstreamEntry upstream) {
        return service(upstream.service()).flatMap(service -> service.find(UpstreamProcessId.of(upstream)));
    }
}
