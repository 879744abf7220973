package org.cuminspur.benchmarks.replay;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.cuminspur.benchmarks.trace.ChatTemplate;
import org.cuminspur.benchmarks.trace.Trace;
import org.cuminspur.benchmarks.trace.Trace.Request;
import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.ServiceId;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.publish.Backoff;
import org.cuminspur.publish.Publisher;
import org.cuminspur.routing.UpstreamSet;
import org.cuminspur.routing.UpstreamView;
import org.cuminspur.testing.SimulatedControlFleet;
import org.cuminspur.testing.SimulatedControlRouter;

/**
 * Replays one trace through the control cores and the placement of many routers, under virtual time.
 *
 * <p>Used by one thread. Equal scenarios and policies give equal results.
 */
final class Replay {
    static final List<String> DOMAINS = List.of("milano", "torino", "verona");
    static final String SERVICE = "assistant";

    private static final long SEED = 7;
    private static final long SETTLE_MS = 4_000;
    private static final long SAMPLE_MS = 200;
    private static final double MEAN_SERVICE_SECONDS = 9.0;
    private static final long WARM_UP_SHARE = 5;
    private static final long LEAST_WARM_UP_MS = 30_000;
    private static final double PROMPT_TOKEN_MS = 0.04;
    private static final int ANSWER_TOKEN_MS = 42;
    private static final long IN_TIME_MS = 1_500;
    private static final int MAX_ATTEMPTS = 3;
    private static final long PROBE_MS = 2;
    private static final long REFUSED_CONNECTION_MS = 1;
    private static final long MATURE_MS = 60_000;

    private final Scenario scenario;
    private final SimulatedControlFleet fleet = new SimulatedControlFleet(SEED);
    private final Map<String, ReplayEngine> engines = new TreeMap<>();
    private final Map<ReplayEngine, Set<Flow>> flows = new HashMap<>();
    private final Map<SimulatedControlRouter, ReplayPolicy> policies = new HashMap<>();
    private final List<SimulatedControlRouter> routers;
    private final Result result = new Result();
    private final List<Request> trace;
    private final ReplayFaults faults;
    private long startMillis;
    private int next;

    Replay(Scenario scenario, String policy, List<ChatTemplate> templates) {
        this.scenario = scenario;
        double perSecond = scenario.load() * scenario.upstreams() * ReplayEngine.SLOTS / MEAN_SERVICE_SECONDS;
        trace = ReplayFaults.shaped(scenario, Trace.requests(templates, perSecond, scenario.seconds() * 1_000L, SEED));
        for (int i = 0; i < scenario.upstreams(); i++) {
            add("engine-" + i, DOMAINS.get(i % DOMAINS.size()));
            fleet.listUpstream("engine-" + i, SERVICE, DOMAINS.get(i % DOMAINS.size()));
        }
        fleet.linkFaults().lossProbability(scenario.lostShare());
        fleet.setMaxListLag(1_000);
        fleet.onProbe(this::probe);
        fleet.startRouters(scenario.routers(), DOMAINS);
        routers = fleet.routers().toList();
        routers.forEach(router -> policies.put(router, Policies.named(policy, policies.size(), engines)));
        faults = new ReplayFaults(scenario, fleet, engines, this::add, this::cut);
    }

    Result run() {
        publish();
        fleet.advance(SETTLE_MS);
        startMillis = fleet.time().nowMillis();
        faults.schedule();
        arriveNext();
        fleet.time().scheduleRepeating(SAMPLE_MS, this::sample);
        fleet.advance(scenario.seconds() * 1_000L);
        return result;
    }

    /** Returns when the replay started. */
    long startMillis() {
        return startMillis;
    }

    private long warmUpMillis() {
        return Math.max(LEAST_WARM_UP_MS, scenario.seconds() * 1_000L / WARM_UP_SHARE);
    }

    private void publish() {
        String file = String.join(
                "\n",
                "[service " + SERVICE + "]",
                "kind = engine",
                "load-bound = 1.25",
                "slots = " + ReplayEngine.SLOTS,
                "cold-allowance = " + ReplayEngine.COLD_BEARS,
                "ramp = " + ReplayEngine.COLD_MS + "ms");
        Backoff backoff = new Backoff(fleet.time().clock(), fleet.time()::schedule, fleet.random(), SETTLE_MS);
        new Publisher(
                        routers.get(0).store(),
                        "replay",
                        Map.of("assistant.ini", file),
                        Set.of(),
                        backoff,
                        published -> {})
                .start();
    }

    private ReplayEngine add(String name, String domain) {
        ReplayEngine engine = new ReplayEngine(name, new FailureDomainId(domain), scenario.reportLagMillis());
        engines.put(name, engine);
        flows.put(engine, new LinkedHashSet<>());
        return engine;
    }

    private void probe(SimulatedControlRouter router, UpstreamId id) {
        fleet.time().schedule(PROBE_MS, () -> {
            ReplayEngine engine = engines.get(id.value());
            if (!engine.down() && !lost()) {
                report(router, engine);
            }
        });
    }

    private void report(SimulatedControlRouter router, ReplayEngine engine) {
        var upstream = router.core().state().upstream(new UpstreamId(engine.name()));
        if (upstream != null) {
            long now = fleet.time().nowMillis();
            upstream.tracker().recordReport(engine.report(now), now);
        }
    }

    private boolean lost() {
        return fleet.random().nextDouble() < scenario.lostShare();
    }

    private void arriveNext() {
        if (next < trace.size()) {
            Request request = trace.get(next++);
            fleet.time()
                    .schedule(startMillis + request.atMillis() - fleet.time().nowMillis(), () -> {
                        result.arrived(request.atMillis());
                        attempt(request, router(request), new HashSet<>());
                        arriveNext();
                    });
        }
    }

    private SimulatedControlRouter router(Request request) {
        for (int i = 0; i < routers.size(); i++) {
            SimulatedControlRouter router = routers.get((int) Math.floorMod(request.draw() + i, (long) routers.size()));
            if (router.core().snapshot().ready()) {
                return router;
            }
        }
        return routers.get(0);
    }

    private void attempt(Request request, SimulatedControlRouter router, Set<UpstreamId> failed) {
        UpstreamSet set = router.core().snapshot().upstreams().get(new ServiceId(SERVICE));
        Optional<UpstreamView> placed = set == null || failed.size() >= MAX_ATTEMPTS
                ? Optional.empty()
                : policies.get(router).place(set, request, failed);
        if (placed.isEmpty()) {
            result.refused++;
            return;
        }
        ReplayEngine engine = engines.get(placed.get().id().value());
        Flow flow = new Flow(request, router, placed.get(), engine);
        long now = fleet.time().nowMillis();
        if (engine.down() || overloads(engine, now)) {
            fleet.time().schedule(REFUSED_CONNECTION_MS, () -> {
                placed.get().tracker().end(false);
                failed.add(placed.get().id());
                attempt(request, router, failed);
            });
            return;
        }
        flows.get(engine).add(flow);
        engine.take(now, () -> begin(flow));
    }

    private boolean overloads(ReplayEngine engine, long now) {
        double after = engine.inProgress() + 1;
        if (after <= engine.bears(now)) {
            return false;
        }
        result.coldOver++;
        result.coldWorst = Math.max(result.coldWorst, after / engine.bears(now));
        return true;
    }

    private void begin(Flow flow) {
        Request request = flow.request();
        int cached = flow.engine().cached(request.chat(), request.promptTokens());
        flow.engine().store(request.chat(), request.promptTokens() + request.answerTokens());
        if (request.atMillis() > warmUpMillis()) {
            result.promptTokens += request.promptTokens();
            result.cachedTokens += cached;
        }
        long prefill = (long) ((request.promptTokens() - cached) * PROMPT_TOKEN_MS);
        fleet.time().schedule(prefill, () -> firstToken(flow));
        fleet.time().schedule(prefill + (long) request.answerTokens() * ANSWER_TOKEN_MS, () -> end(flow));
    }

    private void firstToken(Flow flow) {
        if (flows.get(flow.engine()).contains(flow) && !lost()) {
            report(flow.router(), flow.engine());
        }
        long waited = fleet.time().nowMillis() - startMillis - flow.request().atMillis();
        if (flows.get(flow.engine()).contains(flow) && waited <= IN_TIME_MS) {
            result.servedInTime(flow.request().atMillis());
        }
    }

    private void end(Flow flow) {
        if (flows.get(flow.engine()).remove(flow)) {
            flow.view().tracker().end(true);
            flow.engine().end(fleet.time().nowMillis());
        }
    }

    /** Breaks off all that an engine serves. */
    private void cut(ReplayEngine engine) {
        flows.get(engine).forEach(flow -> flow.view().tracker().end(false));
        result.cut += flows.get(engine).size();
        flows.get(engine).clear();
    }

    private boolean sample() {
        long now = fleet.time().nowMillis();
        if (now - startMillis < warmUpMillis()) {
            return true;
        }
        int[] loads = engines.values().stream()
                .filter(engine -> !engine.down() && now - engine.startMillis() > MATURE_MS && !faults.away(engine, now))
                .mapToInt(ReplayEngine::inProgress)
                .toArray();
        int most = 0;
        int sum = 0;
        for (int load : loads) {
            most = Math.max(most, load);
            sum += load;
        }
        result.skew(sum == 0 ? 1 : (double) most * loads.length / sum);
        return true;
    }

    /** One request at one engine, compared by identity. */
    private static final class Flow {
        private final Request request;
        private final SimulatedControlRouter router;
        private final UpstreamView view;
        private final ReplayEngine engine;

        Flow(Request request, SimulatedControlRouter router, UpstreamView view, ReplayEngine engine) {
            this.request = request;
            this.router = router;
            this.view = view;
            this.engine = engine;
        }

        Request request() {
            return request;
        }

        SimulatedControlRouter router() {
            return router;
        }

        UpstreamView view() {
            return view;
        }

        ReplayEngine engine() {
            return engine;
        }
    }
}
