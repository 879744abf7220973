package org.cuminspur.once;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.cuminspur.store.Store;
import org.cuminspur.testing.once.SimulatedFleet;
import org.cuminspur.testing.once.SimulatedRequest;
import org.cuminspur.testing.once.SimulatedRouter;
import org.cuminspur.time.Clock;

/** Runs actions under faults and then checks for violations; not thread-safe. */
final class FaultScenario {
    /** A window that is shorter than a run. */
    static final long SHORT_WINDOW_MS = 60_000;

    private static final IdempotencySettings SETTINGS =
            new IdempotencySettings(3_600_000, 4_096, UndatedKeyPolicy.KEEP);
    private static final int ROUTERS = 3;
    private static final int ACTIONS = 4;
    private static final int REPEATS = 5;
    private static final int EXPIRING_ACTIONS = 6;
    private static final int CLOCK_CHANGES = 20;
    private static final long MAX_SKEW_MS = 900_000;
    private static final long FAULT_PHASE_MS = 200_000;
    private static final long RECOVERY_PHASE_MS = 150_000;
    private static final long ROUTER_INTERVAL_MS = 7_000;

    private final SimulatedFleet fleet;
    private final List<ActionId> actions = new ArrayList<>();

    private FaultScenario(long seed, SimulatedRouter.LedgerFactory ledgers) {
        fleet = new SimulatedFleet(seed, ROUTERS, ledgers);
    }

    /** Returns the ledger under test. */
    static StoreIdempotencyLedger realLedger(String instanceName, Store store, Clock clock, RandomGenerator random) {
        return new StoreIdempotencyLedger(SETTINGS, instanceName, store, clock, random, event -> {});
    }

    /** Returns the ledger under test with a window that is shorter than a run. */
    static StoreIdempotencyLedger shortWindowLedger(
            String instanceName, Store store, Clock clock, RandomGenerator random) {
        IdempotencySettings settings = new IdempotencySettings(SHORT_WINDOW_MS, 4_096, UndatedKeyPolicy.REFUSE);
        return new StoreIdempotencyLedger(settings, instanceName, store, clock, random, event -> {});
    }

    /**
     * Repeats dated actions long after the window, while writes are delayed and clocks change by more than the window
     * and its margin, and returns the safety violations.
     */
    static List<String> runPastWindow(long seed, SimulatedRouter.LedgerFactory ledgers) {
        SimulatedFleet fleet = new SimulatedFleet(seed, ROUTERS, ledgers);
        InjectedFault.STORE_WRITE_LATE.inject(fleet);
        InjectedFault.FREEZE.inject(fleet);
        for (int i = 0; i < EXPIRING_ACTIONS; i++) {
            ActionId action = fleet.createAction(i, true);
            fleet.time().scheduleRepeating(fleet.random().nextLong(3_000, 12_000), () -> {
                fleet.sendWithRepeats(fleet.randomRouter(), action, "same", 1);
                return true;
            });
            fleet.time().advance(fleet.random().nextLong(5_000));
        }
        for (int i = 0; i < CLOCK_CHANGES; i++) {
            fleet.randomRouter().clockSkewMillis(fleet.random().nextLong(-MAX_SKEW_MS, MAX_SKEW_MS));
            fleet.time().advance(fleet.random().nextLong(60_000));
        }
        return AtMostOnceChecker.violations(fleet).stream()
                .map(text -> "seed " + seed + ": " + text)
                .toList();
    }

    /** Runs a scenario and returns the violations. */
    static List<String> run(long seed, List<InjectedFault> faults, SimulatedRouter.LedgerFactory ledgers) {
        FaultScenario scenario = new FaultScenario(seed, ledgers);
        scenario.runUnderFaults(faults);
        List<SimulatedRequest> finalRepeats = scenario.repeatOnAllRouters();
        boolean killed = scenario.fleet.routers().stream()
                .anyMatch(router -> !router.process().alive());
        return Stream.concat(
                        AtMostOnceChecker.violations(scenario.fleet).stream(),
                        AtMostOnceChecker.recoveryViolations(scenario.fleet, finalRepeats, killed).stream())
                .map(text -> "seed " + seed + " " + faults + ": " + text)
                .toList();
    }

    private void runUnderFaults(List<InjectedFault> faults) {
        fleet.time().advance(300);
        faults.forEach(fault -> fault.inject(fleet));
        for (int i = 0; i < ACTIONS; i++) {
            ActionId action = fleet.createAction(i, i % 2 == 0);
            actions.add(action);
            fleet.time().schedule(fleet.random().nextLong(2_000), () -> sendAction(action));
        }
        fleet.time().advance(FAULT_PHASE_MS);
        InjectedFault.clearAll(fleet);
        fleet.time().advance(RECOVERY_PHASE_MS);
    }

    private void sendAction(ActionId action) {
        fleet.sendWithRepeats(fleet.randomRouter(), action, "same", REPEATS);
        if (fleet.random().nextBoolean()) {
            fleet.sendWithRepeats(fleet.randomRouter(), action, "same", REPEATS);
        }
        if (fleet.random().nextInt(8) == 0) {
            fleet.send(fleet.randomRouter(), action, "other");
        }
    }

    private List<SimulatedRequest> repeatOnAllRouters() {
        List<SimulatedRequest> repeats = new ArrayList<>();
        fleet.routers().stream().filter(router -> router.process().alive()).forEach(router -> {
            actions.forEach(action -> repeats.add(fleet.send(router, action, "same")));
            fleet.time().advance(ROUTER_INTERVAL_MS);
        });
        return repeats;
    }
}
