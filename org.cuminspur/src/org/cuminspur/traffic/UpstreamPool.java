package org.cuminspur.traffic;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.ServiceId;
import org.cuminspur.id.UpstreamId;

/**
 * The upstreams of the fleet, with this instance's state of each.
 *
 * <p>Not thread-safe; confined to the traffic thread. The state of an upstream is reset when its process restarts or
 * its entry goes; what the process said of itself in responses is not, if it comes back.
 */
public final class UpstreamPool {
    /**
     * Factor on an even share of the cold rate for warm upstreams, which may turn cold before their entries show it.
     * Callers are spread unevenly over instances and send bursts, so one instance often sends three times its share.
     */
    private static final double WARM_SHARE_FACTOR = 3;

    /** Requests a second that an instance may always send to a warm upstream, for a burst with one prompt. */
    private static final int MIN_WARM_SHARE = 3;

    /** Processes whose withdrawals are kept beyond those that are listed; the latest ones are kept. */
    static final int MAX_WITHDRAWALS = 256;

    private final InstanceId self;
    private final TrafficBounds bounds;
    private final Consumer<UpstreamState> onRemoved;
    private final Map<UpstreamId, UpstreamState> states = new HashMap<>();
    private final Map<ServiceId, List<UpstreamState>> byService = new HashMap<>();
    private final Map<UpstreamProcessId, UpstreamWithdrawal> withdrawals = new LinkedHashMap<>();
    private FleetView view = FleetView.EMPTY;

    /**
     * Creates an empty pool.
     *
     * @param onRemoved receives each upstream that was removed or restarted
     */
    public UpstreamPool(InstanceId self, TrafficBounds bounds, Consumer<UpstreamState> onRemoved) {
        this.self = self;
        this.bounds = bounds;
        this.onRemoved = onRemoved;
    }

    /** Returns the view that the pool was last updated to. */
    public FleetView view() {
        return view;
    }

    /** Returns the upstreams of a service, including those that accept no new work. */
    public List<UpstreamState> upstreams(ServiceId service) {
        return byService.getOrDefault(service, List.of());
    }

    /** Returns the state of an upstream, empty if it is unknown. */
    public Optional<UpstreamState> find(UpstreamId upstream) {
        return Optional.ofNullable(states.get(upstream));
    }

    /** Returns how long upstreams of a service are cold after a start, 0 if they have no warm-up. */
    public long warmupMillis(ServiceId service) {
        ServiceLimits limits = serviceLimits(service);
        return limits == null || !limits.hasWarmup() ? 0 : limits.warmupMillis();
    }

    /** Updates the pool to a newer view. */
    public void update(FleetView newView, long nowMillis) {
        view = newView;
        states.values().removeIf(state -> {
            UpstreamEntry entry = newView.upstreams().get(state.id());
            boolean ended = entry == null || !entry.sameProcess(state.entry());
            if (ended) {
                state.recordRemoved(nowMillis);
                onRemoved.accept(state);
            }
            return ended;
        });
        newView.upstreams().values().forEach(entry -> updateUpstream(entry, nowMillis));
        evictWithdrawals();
        byService.clear();
        states.values().stream()
                .sorted((a, b) -> a.id().compareTo(b.id()))
                .forEach(state -> byService
                        .computeIfAbsent(state.entry().service(), absent -> new ArrayList<>())
                        .add(state));
        byService.forEach(this::updateExpectedShares);
    }

    /** An upstream is expected to get requests in proportion to the prompts that it owns; none if it gets no new work. */
    private void updateExpectedShares(ServiceId service, List<UpstreamState> serviceStates) {
        Set<UpstreamId> members = serviceStates.stream()
                .filter(UpstreamState::acceptsNewWork)
                .map(UpstreamState::id)
                .collect(Collectors.toSet());
        Map<UpstreamId, Integer> shares = Optional.ofNullable(
                        view.promptTables().get(service))
                .map(table -> table.bucketCounts(members))
                .orElseGet(() -> members.stream().collect(Collectors.toMap(id -> id, id -> 1)));
        serviceStates.forEach(state -> state.setExpectedShare(shares.getOrDefault(state.id(), 0)));
    }

    private void updateUpstream(UpstreamEntry entry, long nowMillis) {
        UpstreamState state = states.computeIfAbsent(
                entry.id(), id -> new UpstreamState(entry, withdrawal(UpstreamProcessId.of(entry)), nowMillis));
        if (!state.entry().equals(entry)) {
            state.update(entry, nowMillis);
        }
        ServiceLimits limits = serviceLimits(entry.service());
        boolean drained = view.drainedDomains().contains(entry.domain());
        if (limits == null || !limits.hasWarmup()) {
            state.setRateShares(Integer.MAX_VALUE, Integer.MAX_VALUE);
        } else {
            int coldShare = ColdRateShare.requestsPerSecond(entry.id(), self, view.instances(), limits, bounds);
            state.setRateShares(coldShare, warmShare(limits));
            if (state.domainDrained() && !drained) {
                // A failure domain that was drained comes back cold, perhaps before its entries show it.
                state.assumeCold(nowMillis, limits.warmupMillis());
            }
        }
        state.setDomainDrained(drained, nowMillis);
    }

    /** Returns what a process said of itself, also before its entry lapsed. */
    private UpstreamWithdrawal withdrawal(UpstreamProcessId process) {
        UpstreamWithdrawal known =
                Optional.ofNullable(withdrawals.remove(process)).orElseGet(UpstreamWithdrawal::new);
        withdrawals.put(process, known);
        return known;
    }

    private void evictWithdrawals() {
        if (withdrawals.size() > MAX_WITHDRAWALS + states.size()) {
            Set<UpstreamProcessId> listed = states.values().stream()
                    .map(state -> UpstreamProcessId.of(state.entry()))
                    .collect(Collectors.toSet());
            withdrawals.keySet().stream()
                    .filter(process -> !listed.contains(process))
                    .limit(withdrawals.size() - MAX_WITHDRAWALS - states.size())
                    .toList()
                    .forEach(withdrawals::remove);
        }
    }

    /** Returns the number of processes whose withdrawals are kept. */
    int withdrawals() {
        return withdrawals.size();
    }

    private ServiceLimits serviceLimits(ServiceId service) {
        return view.routes()
                .map(routes -> routes.config().services().get(service))
                .orElse(null);
    }

    private int warmShare(ServiceLimits limits) {
        int instances = Math.max(1, view.instances().size());
        return Math.max(MIN_WARM_SHARE, (int)
                (WARM_SHARE_FACTOR * ColdRateShare.fleetRequestsPerSecond(limits, bounds) / instances));
    }
}
