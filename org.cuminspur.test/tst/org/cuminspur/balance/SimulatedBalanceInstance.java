package org.cuminspur.balance;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cuminspur.event.EventSink;
import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.InstanceId;
import org.cuminspur.traffic.FleetView;
import org.cuminspur.traffic.NetworkAddress;
import org.cuminspur.traffic.PlacementDecision;
import org.cuminspur.traffic.PromptPlacement;
import org.cuminspur.traffic.UpstreamPool;
import org.cuminspur.traffic.UpstreamProcessId;
import org.cuminspur.traffic.UpstreamState;

/** One instance of the simulated fleet; not thread-safe. */
final class SimulatedBalanceInstance {
    private final SimulatedBalance fleet;
    final InstanceId id;
    private final FailureDomainId domain;
    final UpstreamPool pool;
    final PromptPlacement placement;
    private final FleetBalancer balancer;
    boolean running = true;
    private FleetView view = FleetView.EMPTY;

    SimulatedBalanceInstance(InstanceId id, FailureDomainId domain, SimulatedBalance fleet) {
        this.fleet = fleet;
        this.id = id;
        this.domain = domain;
        pool = new UpstreamPool(id, SimulatedBalance.BOUNDS, removed -> {});
        placement = new PromptPlacement(domain, SimulatedBalance.BOUNDS.loadFactor(), fleet.random::nextDouble);
        balancer = new FleetBalancer(
                id,
                domain,
                fleet.time.clock(),
                fleet.time::schedule,
                new LoadTable(fleet.random::nextDouble, fleet.paces),
                (to, message) -> fleet.send(id, to, message),
                EventSink.NONE);
    }

    FailureDomainId domain() {
        return domain;
    }

    FleetBalancer balancer() {
        return balancer;
    }

    void update(FleetView newView) {
        view = newView;
        pool.update(newView, now());
        balancer.update(newView);
    }

    /** Lets it no longer know of another instance. */
    void forget(InstanceId other) {
        Map<InstanceId, NetworkAddress> peers = new HashMap<>(view.peers());
        peers.remove(other);
        List<InstanceId> left =
                view.instances().stream().filter(id -> !id.equals(other)).toList();
        update(new FleetView(view.routes(), view.upstreams(), view.drainedDomains(), left, peers, Map.of()));
    }

    void kill() {
        running = false;
    }

    long now() {
        return fleet.time.nowMillis();
    }

    Optional<UpstreamState> bestKnown(List<UpstreamState> candidates) {
        List<Candidate> known = candidates.stream()
                .map(upstream -> new Candidate(
                        UpstreamProcessId.of(upstream.entry()),
                        upstream.entry().domain().equals(domain),
                        !upstream.health().admitsRequest(fleet.time.nowMillis())))
                .toList();
        return fleet.shared
                .assign(known, fleet.time.nowMillis())
                .flatMap(process -> candidates.stream()
                        .filter(upstream ->
                                UpstreamProcessId.of(upstream.entry()).equals(process))
                        .findFirst());
    }

    Optional<UpstreamState> leastLoaded(List<UpstreamState> candidates) {
        return placement
                .choose(candidates, SimulatedBalance.criteria(Set.of()), fleet.time.nowMillis())
                .map(PlacementDecision::upstream);
    }
}
