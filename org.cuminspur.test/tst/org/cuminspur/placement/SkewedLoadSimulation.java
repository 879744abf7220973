package org.cuminspur.placement;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.cuminspur.id.ServiceId;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.publish.Backoff;
import org.cuminspur.publish.Publisher;
import org.cuminspur.routing.LoadReport;
import org.cuminspur.routing.UpstreamSet;
import org.cuminspur.routing.UpstreamView;
import org.cuminspur.testing.SimulatedControlFleet;
import org.cuminspur.testing.SimulatedControlRouter;

/** Simulates a fleet under steady load with popular chats, and compares the most loaded upstream with the mean. */
final class SkewedLoadSimulation {
    static final double BOUND = 1.5;

    private static final int UPSTREAMS = 14;
    private static final int SLOTS = 200;
    private static final long STEP_MS = 20;
    private static final int REQUESTS_PER_STEP = 3;
    private static final double SERVICE_MS = 6_000;
    private static final double POPULAR_SHARE = 0.06;
    private static final List<String> DOMAINS = List.of("milano", "torino", "verona");

    private final SimulatedControlFleet fleet;
    private final Map<String, Integer> inProgress = new TreeMap<>();
    private final Map<String, Boolean> counted = new TreeMap<>();
    private final ColdStartSimulation.PlacementPolicy policy;
    private final long reportLagMillis;
    private final double lostShare;
    private double worstLoadRatio;

    SkewedLoadSimulation(
            long seed,
            int routers,
            long reportLagMillis,
            double lostShare,
            ColdStartSimulation.PlacementPolicy policy) {
        this.policy = policy;
        this.reportLagMillis = reportLagMillis;
        this.lostShare = lostShare;
        fleet = new SimulatedControlFleet(seed);
        fleet.setMaxListLag(1_000);
        fleet.linkFaults().lossProbability(lostShare).delay(1, 50);
        fleet.onProbe((router, upstream) -> report(router, upstream.value()));
        for (int i = 0; i < UPSTREAMS; i++) {
            join("engine-" + i);
        }
        fleet.startRouters(routers, DOMAINS);
        fleet.advance(100);
        String file =
                "[service assistant]\nkind = engine\nslots = " + SLOTS + "\nload-bound = " + BOUND + "\nramp = 2s\n";
        new Publisher(
                        fleet.router("router-0").store(),
                        "load",
                        Map.of("a.ini", file),
                        Set.of(),
                        new Backoff(fleet.time().clock(), fleet.time()::schedule, fleet.random(), 4_000),
                        result -> {})
                .start();
        fleet.advance(4_000);
    }

    /** Returns the highest load of any upstream while checked, as a multiple of the mean. */
    double worstLoadRatio() {
        return worstLoadRatio;
    }

    /** Lists an upstream. */
    void join(String engine) {
        inProgress.put(engine, 0);
        counted.put(engine, true);
        fleet.listUpstream(engine, "assistant", DOMAINS.get(inProgress.size() % 3));
    }

    /** Marks an upstream as leaving; its requests run on, but it no longer counts towards the loads. */
    void leave(String engine) {
        fleet.markLeaving(engine);
        counted.put(engine, false);
    }

    /** Offers load for a time, and records the highest load if {@code checked}. */
    void offerLoad(long millis, boolean checked) {
        long endMillis = fleet.time().nowMillis() + millis;
        while (fleet.time().nowMillis() < endMillis) {
            List<SimulatedControlRouter> routers = fleet.routers().toList();
            for (int i = 0; i < REQUESTS_PER_STEP; i++) {
                sendRequest(routers.get(fleet.random().nextInt(routers.size())));
            }
            fleet.advance(STEP_MS);
            worstLoadRatio = checked ? Math.max(worstLoadRatio, maxToMeanLoad()) : worstLoadRatio;
        }
    }

    private double maxToMeanLoad() {
        double[] loads = inProgress.entrySet().stream()
                .filter(entry -> counted.get(entry.getKey()))
                .mapToDouble(Map.Entry::getValue)
                .toArray();
        double sum = 0;
        double max = 0;
        for (double load : loads) {
            sum += load;
            max = Math.max(max, load);
        }
        return max * loads.length / sum;
    }

    private void sendRequest(SimulatedControlRouter router) {
        boolean popular = fleet.random().nextDouble() < POPULAR_SHARE;
        // Popular chats are few enough to share an upstream by chance; each brings a third of the mean load.
        long chat = popular ? fleet.random().nextInt(3) : fleet.random().nextLong();
        UpstreamSet set = router.core().snapshot().upstreams().get(new ServiceId("assistant"));
        Optional<UpstreamView> placed = set == null ? Optional.empty() : policy.place(set, chat);
        placed.ifPresent(view -> serve(router, view));
    }

    private void serve(SimulatedControlRouter router, UpstreamView view) {
        String engine = view.id().value();
        inProgress.merge(engine, 1, Integer::sum);
        report(router, engine);
        long serviceMillis = (long) (-SERVICE_MS * Math.log(1 - fleet.random().nextDouble()));
        fleet.time().schedule(serviceMillis, () -> {
            inProgress.merge(engine, -1, Integer::sum);
            view.tracker().end(true);
        });
    }

    private void report(SimulatedControlRouter router, String engine) {
        int load = inProgress.get(engine);
        if (fleet.random().nextDouble() < lostShare) {
            return;
        }
        fleet.time().schedule(reportLagMillis, () -> {
            var upstream = router.core().state().upstream(new UpstreamId(engine));
            if (upstream != null) {
                upstream.tracker()
                        .recordReport(
                                new LoadReport(load, SLOTS, 1), fleet.time().nowMillis());
            }
        });
    }
}
