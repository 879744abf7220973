package org.cuminspur.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.cuminspur.control.ListedInstance;
import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.ServiceId;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.publish.Backoff;
import org.cuminspur.publish.Publisher;
import org.cuminspur.routing.LoadReport;
import org.cuminspur.routing.Placement;
import org.cuminspur.routing.UpstreamSet;
import org.cuminspur.routing.UpstreamView;
import org.cuminspur.testing.SimulatedControlFleet;
import org.cuminspur.testing.SimulatedControlRouter;

/** Simulates a fleet that is offered far more than its cold upstreams may take, and records excess load. */
final class ColdStartSimulation {
    static final int COLD_ALLOWANCE = 8;
    static final int SLOTS = 64;
    static final long RAMP_MS = 20_000;

    private static final long STEP_MS = 20;
    private static final long SERVICE_MS = 400;
    private static final List<String> DOMAINS = List.of("milano", "torino", "verona");

    /** Chooses an upstream for a request. */
    @FunctionalInterface
    interface PlacementPolicy {
        Optional<UpstreamView> place(UpstreamSet set, long chat);
    }

    private final SimulatedControlFleet fleet;
    private final Map<String, Long> startedMillis = new TreeMap<>();
    private final Map<String, Integer> inProgress = new TreeMap<>();
    private final List<String> violations = new ArrayList<>();
    private final PlacementPolicy policy;
    private int servedCount;

    ColdStartSimulation(long seed, int routers, int upstreams, PlacementPolicy policy) {
        this.policy = policy;
        fleet = new SimulatedControlFleet(seed);
        fleet.setMaxListLag(2_000);
        fleet.linkFaults().lossProbability(0.2).duplicationProbability(0.1).delay(1, 300);
        fleet.onProbe((router, upstream) -> report(router, upstream.value()));
        for (int i = 0; i < upstreams; i++) {
            fleet.listUpstream("engine-" + i, "assistant", DOMAINS.get(i % 3));
            startedMillis.put("engine-" + i, 1L);
            inProgress.put("engine-" + i, 0);
        }
        fleet.startRouters(routers, DOMAINS);
        String file = "[service assistant]\nkind = engine\nslots = " + SLOTS + "\ncold-allowance = " + COLD_ALLOWANCE
                + "\nramp = " + RAMP_MS + "ms\n";
        fleet.advance(100);
        new Publisher(
                        fleet.router("router-0").store(),
                        "cold",
                        Map.of("a.ini", file),
                        Set.of(),
                        new Backoff(fleet.time().clock(), fleet.time()::schedule, fleet.random(), 4_000),
                        result -> {})
                .start();
        fleet.advance(5_000);
    }

    static Optional<UpstreamView> boundedPlacement(UpstreamSet set, long chat) {
        return Placement.place(set, chat, Set.of());
    }

    SimulatedControlFleet fleet() {
        return fleet;
    }

    List<String> violations() {
        return violations;
    }

    int servedCount() {
        return servedCount;
    }

    int inProgress(String engine) {
        return inProgress.get(engine);
    }

    /** Restarts an upstream; routers learn it from the instance list if {@code listed}, else from load reports. */
    void restart(String engine, boolean listed) {
        long now = fleet.time().nowMillis();
        startedMillis.put(engine, now);
        if (listed) {
            fleet.listInstance(new ListedInstance(
                    engine,
                    "assistant",
                    "127.0.0.1",
                    Map.of("http", 1),
                    new FailureDomainId("milano"),
                    Long.toString(now),
                    false));
        }
    }

    /** Sends requests to random live routers for a time. */
    void offerLoad(long millis, int requestsPerStep) {
        long endMillis = fleet.time().nowMillis() + millis;
        while (fleet.time().nowMillis() < endMillis) {
            List<SimulatedControlRouter> routers = fleet.routers().toList();
            for (int i = 0; i < requestsPerStep; i++) {
                sendRequest(routers.get(fleet.random().nextInt(routers.size())));
            }
            fleet.advance(STEP_MS);
        }
    }

    private void sendRequest(SimulatedControlRouter router) {
        UpstreamSet set = router.core().snapshot().upstreams().get(new ServiceId("assistant"));
        Optional<UpstreamView> placed = set == null
                ? Optional.empty()
                : policy.place(set, fleet.random().nextLong());
        placed.ifPresent(view -> serve(router, view));
    }

    private void serve(SimulatedControlRouter router, UpstreamView view) {
        String engine = view.id().value();
        int current = inProgress.merge(engine, 1, Integer::sum);
        servedCount++;
        if (current > allowedInProgress(engine)) {
            violations.add(
                    engine + " has " + current + " requests in progress, allowed are " + allowedInProgress(engine));
        }
        report(router, engine);
        fleet.time().schedule(SERVICE_MS, () -> {
            inProgress.merge(engine, -1, Integer::sum);
            view.tracker().end(true);
        });
    }

    private double allowedInProgress(String engine) {
        double age = (double) (fleet.time().nowMillis() - startedMillis.get(engine)) / RAMP_MS;
        return age >= 1 ? Double.MAX_VALUE : COLD_ALLOWANCE + (SLOTS - COLD_ALLOWANCE) * age;
    }

    private void report(SimulatedControlRouter router, String engine) {
        var upstream = router.core().state().upstream(new UpstreamId(engine));
        if (upstream != null) {
            LoadReport report = new LoadReport(inProgress.get(engine), SLOTS, startedMillis.get(engine));
            upstream.tracker().recordReport(report, fleet.time().nowMillis());
        }
    }
}
