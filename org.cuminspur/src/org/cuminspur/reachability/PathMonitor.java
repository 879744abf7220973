package org.cuminspur.reachability;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.cuminspur.event.EventSink;
import org.cuminspur.id.ServiceId;
import org.cuminspur.time.Clock;
import org.cuminspur.traffic.FleetView;
import org.cuminspur.traffic.UpstreamEntry;

/**
 * Observes this instance's own paths to the upstreams of each service.
 *
 * <p>Not thread-safe; confined to the traffic thread. A line is logged only when what is believed of a service changes.
 */
public final class PathMonitor {
    /** Time for which the outcome of a new connection tells of the path. */
    static final long EVIDENCE_MS = 2_000;

    /** Upstreams that must fail at once, or all if there are fewer. */
    static final int MIN_FAILING = 2;

    private final Clock clock;
    private final EventSink events;
    private final Map<ServiceId, ServicePath> services = new HashMap<>();

    /** Creates a monitor that knows no upstream. */
    public PathMonitor(Clock clock, EventSink events) {
        this.clock = clock;
        this.events = events;
    }

    /** Applies a newer view of the fleet. */
    public void update(FleetView view) {
        Map<ServiceId, List<UpstreamEntry>> entries =
                view.upstreams().values().stream().collect(Collectors.groupingBy(UpstreamEntry::service));
        services.keySet().retainAll(entries.keySet());
        entries.forEach((service, members) -> services.computeIfAbsent(service, id -> new ServicePath(clock.millis()))
                .update(members));
    }

    /** Records that a connection to an upstream was made. */
    public void connected(UpstreamEntry upstream) {
        find(upstream).ifPresent(path -> path.recordConnected(clock.millis()));
        assess(upstream.service(), "connected");
    }

    /**
     * Records that no connection to an upstream was made.
     *
     * @param startedMillis when the attempt began
     */
    public void connectFailed(UpstreamEntry upstream, long startedMillis) {
        find(upstream).ifPresent(path -> path.recordFailed(startedMillis, clock.millis()));
        assess(upstream.service(), "connect-failed");
    }

    /** Records that bytes of an upstream arrived. */
    public void received(UpstreamEntry upstream) {
        find(upstream).ifPresent(path -> path.recordReceived(clock.millis()));
    }

    /** Returns what is believed of the path to a service. */
    public PathState state(ServiceId service) {
        return Optional.ofNullable(services.get(service))
                .map(ServicePath::state)
                .orElse(PathState.REACHABLE);
    }

    private Optional<UpstreamPath> find(UpstreamEntry upstream) {
        return Optional.ofNullable(services.get(upstream.service())).flatMap(service -> service.find(upstream));
    }

    private void assess(ServiceId id, String cause) {
        ServicePath service = services.get(id);
        if (service == null) {
            return;
        }
        long failing = service.failing();
        boolean doubtful = failing >= Math.min(MIN_FAILING, service.paths().size())
                && failing > service.connectedSince(clock.millis() - EVIDENCE_MS);
        enter(id, service, doubtful ? PathState.DOUBTFUL : PathState.REACHABLE, cause);
    }

    private void enter(ServiceId id, ServicePath service, PathState next, String cause) {
        PathState before = service.state();
        if (before == next) {
            return;
        }
        long now = clock.millis();
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
                "cause",
                cause,
                "failing",
                service.failing(),
                "connected",
                service.connectedSince(now - EVIDENCE_MS),
                "upstreams",
                service.paths().size());
        service.enter(next, now);
    }
}
