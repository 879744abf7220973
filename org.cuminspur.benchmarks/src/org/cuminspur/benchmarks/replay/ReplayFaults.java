package org.cuminspur.benchmarks.replay;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.cuminspur.benchmarks.trace.Trace.Request;
import org.cuminspur.control.ControlInput;
import org.cuminspur.control.ListedInstance;
import org.cuminspur.control.Target;
import org.cuminspur.id.FailureDomainId;
import org.cuminspur.testing.SimulatedControlFleet;

/** Brings about what a scenario says, at fixed times of the replay; used by one thread. */
final class ReplayFaults {
    static final String MOVED = "verona";

    private static final long LIST_NOTICE_MS = 5_000;
    private static final long CHURN_MS = 20_000;
    private static final long SETTLED_MS = 60_000;
    private static final String SURGING = "account-9";
    private static final int SURGE_FACTOR = 4;

    private final Scenario scenario;
    private final SimulatedControlFleet fleet;
    private final Map<String, ReplayEngine> engines;
    private final BiFunction<String, String, ReplayEngine> adder;
    private final Consumer<ReplayEngine> cutter;
    private long leftMillis = Long.MAX_VALUE;
    private long backMillis = Long.MAX_VALUE;
    private final Set<ReplayEngine> leaving = new HashSet<>();
    private int replaced;

    ReplayFaults(
            Scenario scenario,
            SimulatedControlFleet fleet,
            Map<String, ReplayEngine> engines,
            BiFunction<String, String, ReplayEngine> adder,
            Consumer<ReplayEngine> cutter) {
        this.scenario = scenario;
        this.fleet = fleet;
        this.engines = engines;
        this.adder = adder;
        this.cutter = cutter;
    }

    /** Returns when the domain leaves, from the start of the replay. */
    static long leaveMillis(Scenario scenario) {
        return scenario.seconds() * 1_000L / 4;
    }

    /** Returns when the domain is back, from the start of the replay. */
    static long returnMillis(Scenario scenario) {
        return scenario.seconds() * 1_000L / 2;
    }

    /** Returns the trace with an account's surge, if the scenario has one. */
    static List<Request> shaped(Scenario scenario, List<Request> trace) {
        if (scenario.fault() != Scenario.Fault.SURGE) {
            return trace;
        }
        long from = leaveMillis(scenario);
        long until = returnMillis(scenario);
        return trace.stream()
                .flatMap(request -> IntStream.range(0, surges(request, from, until) ? SURGE_FACTOR : 1)
                        .mapToObj(copy -> copy(request, copy)))
                .toList();
    }

    /** Schedules the faults. */
    void schedule() {
        switch (scenario.fault()) {
            case CHURN -> fleet.time().scheduleRepeating(CHURN_MS, this::replaceOne);
            case SUDDEN_COLD -> fleet.time().scheduleRepeating(CHURN_MS, this::restartOne);
            case PLANNED_MOVE -> plannedMove();
            case UNANNOUNCED_LOSS -> unannouncedLoss();
            default -> leftMillis = Long.MAX_VALUE;
        }
    }

    /** Returns whether an engine is out of service, or has been back for too short a time to have its share. */
    boolean away(ReplayEngine engine, long now) {
        boolean moved = engine.domain().value().equals(MOVED);
        boolean leaves = leaving.contains(engine);
        return leaves || (moved && now >= leftMillis && now < backMillis + SETTLED_MS);
    }

    private static boolean surges(Request request, long from, long until) {
        return request.account().equals(SURGING) && request.atMillis() >= from && request.atMillis() < until;
    }

    private static Request copy(Request request, int copy) {
        return new Request(
                request.atMillis(),
                request.chat() + copy,
                request.account(),
                request.promptTokens(),
                request.answerTokens(),
                request.draw() + copy);
    }

    private void plannedMove() {
        fleet.time().schedule(leaveMillis(scenario), () -> order(true));
        fleet.time().schedule(returnMillis(scenario), () -> order(false));
    }

    private void order(boolean out) {
        leftMillis = out ? fleet.time().nowMillis() : leftMillis;
        backMillis = out ? Long.MAX_VALUE - SETTLED_MS : fleet.time().nowMillis();
        Target target = new Target(Target.Kind.DOMAIN, MOVED);
        fleet.router("router-0").accept(new ControlInput.OrderSubmitted(target, out, "replay"));
    }

    private void unannouncedLoss() {
        fleet.time().schedule(leaveMillis(scenario), () -> {
            leftMillis = fleet.time().nowMillis();
            backMillis = Long.MAX_VALUE - SETTLED_MS;
            moved().forEach(this::kill);
            fleet.time().schedule(LIST_NOTICE_MS, () -> moved().forEach(engine -> fleet.removeFromList(engine.name())));
        });
        fleet.time().schedule(returnMillis(scenario), () -> {
            backMillis = fleet.time().nowMillis();
            moved().forEach(this::startAnew);
        });
    }

    private Stream<ReplayEngine> moved() {
        return List.copyOf(engines.values()).stream()
                .filter(engine -> engine.domain().value().equals(MOVED));
    }

    private boolean replaceOne() {
        ReplayEngine old = engines.get("engine-" + replaced);
        leaving.add(old);
        fleet.markLeaving(old.name());
        fleet.time().schedule(CHURN_MS, () -> fleet.removeFromList(old.name()));
        ReplayEngine engine = adder.apply(
                "engine-" + (scenario.upstreams() + replaced), old.domain().value());
        startAnew(engine);
        replaced++;
        return replaced < scenario.upstreams() / 2;
    }

    private boolean restartOne() {
        ReplayEngine engine = engines.get("engine-" + replaced++);
        kill(engine);
        engine.start(fleet.time().nowMillis());
        return replaced < scenario.upstreams() / 2;
    }

    private void kill(ReplayEngine engine) {
        cutter.accept(engine);
        engine.stop(fleet.time().nowMillis());
    }

    private void startAnew(ReplayEngine engine) {
        long now = fleet.time().nowMillis();
        engine.start(now);
        fleet.listInstance(new ListedInstance(
                engine.name(),
                Replay.SERVICE,
                "127.0.0.1",
                Map.of(ListedInstance.HTTP_PORT, 1),
                new FailureDomainId(engine.domain().value()),
                Long.toString(now),
                false));
    }
}
