package org.cuminspur.traffic;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.ServiceId;
import org.cuminspur.id.UpstreamId;

/**
 * The upstreams that requests may be placed on, with this instance's counts of each.
 *
 * <p>Not thread-safe; used on the traffic thread. Counts of an upstream start anew when its process does.
 */
public final class UpstreamPool {
    /**
     * Factor on an even part of the rate for warm upstreams, which may turn cold before they say so. Callers are not
     * spread evenly over instances and come in bunches, so that one instance often sends three times its part.
     */
    private static final double WARM_UNEVENNESS = 3;

    /** A bunch of requests with one prompt, which an instance may always send to a warm upstream. */
    private static final int LEAST_WARM_SHARE = 3;

    private final InstanceId self;
    private final TrafficBounds bounds;
    private final Consumer<UpstreamState> removed;
    private final Map<UpstreamId, UpstreamState> states = new HashMap<>();
    private final Map<ServiceId, List<UpstreamState>> byService = new HashMap<>();
    private FleetView view = FleetView.EMPTY;

    /**
     * Makes an empty board.
     *
     * @param removed receives each upstream that is gone or has started anew
     */
    public UpstreamPool(InstanceId self, TrafficBounds bounds, Consumer<UpstreamState> removed) {
        this.self = self;
        this.bounds = bounds;
        this.removed = removed;
    }

    /** Returns the view that the board was brought up to. */
    public FleetView view() {
        return view;
    }

    /** Returns the upstreams of a service, those that take no new work too. */
    public List<UpstreamState> upstreams(ServiceId service) {
        return byService.getOrDefault(service, List.of());
    }

    /** Returns how long upstreams of a service are cold after a start, 0 if they never are. */
    public long warmupMillis(ServiceId service) {
        ServiceLimits terms = terms(service);
        return terms == null || !terms.hasWarmup() ? 0 : terms.warmupMillis();
    }

    /** Brings the board up to a newer view. */
    public void update(FleetView newer, long nowMillis) {
        view = newer;
        states.values().removeIf(state -> {
            UpstreamEntry entry = newer.upstreams().get(state.id());
            boolean over = entry == null || !entry.sameProcess(state.entry());
            if (over) {
                removed.accept(state);
            }
            return over;
        });
        newer.upstreams().values().forEach(entry -> take(entry, nowMillis));
        byService.clear();
        states.values().stream()
                .sorted((a, b) -> a.id().compareTo(b.id()))
                .forEach(state -> byService
                        .computeIfAbsent(state.entry().service(), absent -> new ArrayList<>())
                        .add(state));
    }

    private void take(UpstreamEntry entry, long nowMillis) {
        UpstreamState state = states.computeIfAbsent(entry.id(), id -> new UpstreamState(entry, nowMillis));
        if (!state.entry().equals(entry)) {
            state.update(entry, nowMillis);
        }
        ServiceLimits terms = terms(entry.service());
        boolean emptied = view.drainedDomains().contains(entry.domain());
        if (terms == null || !terms.hasWarmup()) {
            state.setRateShares(Integer.MAX_VALUE, Integer.MAX_VALUE);
        } else {
            int cold = ColdRateShare.requestsPerSecond(entry.id(), self, view.instances(), terms, bounds);
            state.setRateShares(cold, warmShare(terms));
            if (state.domainDrained() && !emptied) {
                // A failure domain that was emptied comes back cold, perhaps before its entries say so.
                state.assumeCold(nowMillis, terms.warmupMillis());
            }
        }
        state.setDomainDrained(emptied);
    }

    private ServiceLimits terms(ServiceId service) {
        return view.routes()
                .map(routes -> routes.config().services().get(service))
                .orElse(null);
    }

    private int warmShare(ServiceLimits terms) {
        int instances = Math.max(1, view.instances().size());
        return Math.max(LEAST_WARM_SHARE, (int)
                (WARM_UNEVENNESS * ColdRateShare.fleetRequestsPerSecond(terms, bounds) / instances));
    }
}
