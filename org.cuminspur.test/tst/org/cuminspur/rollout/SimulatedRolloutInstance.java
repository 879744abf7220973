package org.cuminspur.rollout;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.RouteId;
import org.cuminspur.id.ServiceId;
import org.cuminspur.id.SoftwareVersion;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.store.PolledStore;
import org.cuminspur.testing.SimulatedStore;
import org.cuminspur.testing.StoreFaults;
import org.cuminspur.traffic.FleetView;
import org.cuminspur.traffic.FleetWatcher;
import org.cuminspur.traffic.PlacementDecision;
import org.cuminspur.traffic.PromptDescription;
import org.cuminspur.traffic.PromptPlacement;
import org.cuminspur.traffic.StreamMemory;
import org.cuminspur.traffic.UpstreamPool;
import org.cuminspur.traffic.UpstreamState;
import org.cuminspur.traffic.ViewFreshness;

/** One instance of a simulated fleet: its view, its upstreams and its part in a roll-out, without sockets. */
final class SimulatedRolloutInstance {
    private static final long FRESH_MS = 3_000;

    private final RolloutSimulation fleet;
    private final InstanceId id;
    private final StoreFaults faults = new StoreFaults();
    private final UpstreamPool pool;
    private final RolloutMonitor monitor;
    private final PromptPlacement placement;
    private final ViewFreshness freshness;
    private final FleetWatcher watcher;
    private boolean running = true;
    private boolean cutOff;

    SimulatedRolloutInstance(RolloutSimulation fleet, InstanceId id, Random random) {
        this.fleet = fleet;
        this.id = id;
        freshness = new ViewFreshness(fleet.time().clock(), fleet.time().clock());
        pool = new UpstreamPool(id, RolloutSimulation.BOUNDS, removed -> {});
        placement = new PromptPlacement(
                RolloutSimulation.DOMAIN, RolloutSimulation.BOUNDS.loadFactor(), random::nextDouble);
        FleetWatcher.Context context = new FleetWatcher.Context(
                fleet.time().clock(), this::schedule, freshness, RolloutSimulation.BOUNDS, (event, fields) -> {});
        PolledStore store = new RolloutStore(
                new SimulatedStore(fleet.time(), random, fleet.table(), faults), () -> fleet.unconditionalWrites);
        monitor = new RolloutMonitor(
                id,
                fleet.time().clock(),
                this::schedule,
                pool,
                fleet.bounds(),
                () -> freshness.ageMillis() < FRESH_MS,
                new Messages(),
                (event, fields) -> {},
                name -> {});
        watcher = new FleetWatcher(
                store,
                RolloutSimulation::decode,
                id,
                context,
                this::publish,
                freshness::confirm,
                StreamMemory.NONE,
                new RolloutSupport(RolloutSimulation.KEYS, new Traffic()));
        watcher.start();
    }

    private void schedule(long delayMillis, Runnable action) {
        fleet.time().schedule(delayMillis, () -> {
            if (running) {
                action.run();
            }
        });
    }

    private void publish(FleetView view) {
        pool.update(view, fleet.time().nowMillis());
        monitor.update(view);
    }

    InstanceId id() {
        return id;
    }

    boolean running() {
        return running;
    }

    boolean cutOff() {
        return cutOff;
    }

    void kill() {
        running = false;
    }

    /** Cuts it off from the store and the other instances, or connects it again. */
    void cutOff(boolean cut) {
        cutOff = cut;
        faults.outage(cut);
    }

    StoreFaults faults() {
        return faults;
    }

    void receive(InstanceId from, RolloutMessage message) {
        if (running && !cutOff) {
            monitor.receive(from, message);
        }
    }

    /** Returns the upstream for a request, empty if none may take it. */
    Optional<UpstreamState> place(RouteId route, CanaryPolicy policy) {
        Optional<SoftwareVersion> canary =
                policy.draw(monitor, route, fleet.time().nowMillis());
        return choose(canary, canary.isPresent() ? monitor.unsuited(RolloutSimulation.SERVICE) : Set.of())
                .or(() -> choose(Optional.empty(), Set.of()));
    }

    private Optional<UpstreamState> choose(Optional<SoftwareVersion> version, Set<UpstreamId> excluded) {
        PromptPlacement.Criteria criteria = new PromptPlacement.Criteria(
                OptionalLong.empty(), Optional.empty(), Optional.empty(), excluded, version);
        return placement
                .choose(
                        List.copyOf(pool.upstreams(RolloutSimulation.SERVICE)),
                        criteria,
                        fleet.time().nowMillis())
                .map(PlacementDecision::upstream);
    }

    AnswerObserver observe(UpstreamState upstream, RouteId route) {
        return monitor.observe(upstream, route, PromptDescription.NONE);
    }

    private final class Messages implements RolloutMonitor.Host {
        @Override
        public void send(InstanceId to, RolloutMessage message) {
            fleet.deliver(id, to, message);
        }

        @Override
        public void sendToAll(RolloutMessage message) {
            fleet.deliverToAll(id, message);
        }

        @Override
        public void requestConfirmation() {
            watcher.requestConfirmation();
        }
    }

    /** Carries calls between the two threads of an instance, one after the other. */
    private final class Traffic implements RolloutTraffic {
        @Override
        public void assess(ServiceId service, long rollout, Consumer<RolloutAssessment> result) {
            schedule(0, () -> result.accept(fleet.assessments.apply(monitor.assess(service, rollout))));
        }

        @Override
        public void stopTarget(ServiceId service, long rollout) {
            schedule(0, () -> monitor.stopTarget(service, rollout));
        }

        @Override
        public void announceChange(long rollout) {
            schedule(0, () -> monitor.announceChange(rollout));
        }
    }
}
