package org.cuminspur.once;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.cuminspur.store.Store;
import org.cuminspur.testing.once.OnceFleet;
import org.cuminspur.testing.once.OnceRequest;
import org.cuminspur.testing.once.OnceRouter;
import org.cuminspur.time.Clock;

/** One run of actions under faults, checked at its end; used by one thread. */
final class OnceSchedule {
    /** A window that ends within a run. */
    static final long SHORT_WINDOW_MS = 60_000;

    private static final IdempotencySettings SETTINGS =
            new IdempotencySettings(3_600_000, 4_096, UndatedKeyPolicy.KEEP);
    private static final int ROUTERS = 3;
    private static final int ACTIONS = 4;
    private static final int REPEATS = 5;
    private static final int EXPIRING_ACTIONS = 6;
    private static final int CLOCK_MOVES = 20;
    private static final long MAX_SKEW_MS = 900_000;
    private static final long FAULTY_MS = 200_000;
    private static final long SETTLE_MS = 150_000;
    private static final long GAP_MS = 7_000;

    private final OnceFleet fleet;
    private final List<ActionId> actions = new ArrayList<>();

    private OnceSchedule(long seed, OnceRouter.Ledgers ledgers) {
        fleet = new OnceFleet(seed, ROUTERS, ledgers);
    }

    /** Returns the ledger under test. */
    static StoreIdempotencyLedger real(String owner, Store store, Clock clock, RandomGenerator random) {
        return new StoreIdempotencyLedger(SETTINGS, owner, store, clock, random, event -> {});
    }

    /** Returns the ledger under test with a window that ends within a run. */
    static StoreIdempotencyLedger expiring(String owner, Store store, Clock clock, RandomGenerator random) {
        IdempotencySettings settings = new IdempotencySettings(SHORT_WINDOW_MS, 4_096, UndatedKeyPolicy.REFUSE);
        return new StoreIdempotencyLedger(settings, owner, store, clock, random, event -> {});
    }

    /**
     * Repeats dated actions far past the window, while writes are late and clocks move by more than the window and its
     * margin, and returns the violations of safety seen.
     */
    static List<String> runPastWindow(long seed, OnceRouter.Ledgers ledgers) {
        OnceFleet fleet = new OnceFleet(seed, ROUTERS, ledgers);
        OnceFault.STORE_WRITE_LATE.strike(fleet);
        OnceFault.FREEZE.strike(fleet);
        for (int i = 0; i < EXPIRING_ACTIONS; i++) {
            ActionId action = fleet.action(i, true);
            fleet.time().every(fleet.random().nextLong(3_000, 12_000), () -> {
                fleet.persist(fleet.anyRouter(), action, "same", 1);
                return true;
            });
            fleet.time().run(fleet.random().nextLong(5_000));
        }
        for (int i = 0; i < CLOCK_MOVES; i++) {
            fleet.anyRouter().clockSkewMillis(fleet.random().nextLong(-MAX_SKEW_MS, MAX_SKEW_MS));
            fleet.time().run(fleet.random().nextLong(60_000));
        }
        return OnceChecker.violations(fleet).stream()
                .map(text -> "seed " + seed + ": " + text)
                .toList();
    }

    /** Runs a schedule and returns the violations seen. */
    static List<String> run(long seed, List<OnceFault> faults, OnceRouter.Ledgers ledgers) {
        OnceSchedule schedule = new OnceSchedule(seed, ledgers);
        schedule.act(faults);
        List<OnceRequest> last = schedule.repeatAll();
        boolean killed = schedule.fleet.routers().stream()
                .anyMatch(router -> !router.gate().alive());
        return Stream.concat(
                        OnceChecker.violations(schedule.fleet).stream(),
                        OnceChecker.unsettled(schedule.fleet, last, killed).stream())
                .map(text -> "seed " + seed + " " + faults + ": " + text)
                .toList();
    }

    private void act(List<OnceFault> faults) {
        fleet.time().run(300);
        faults.forEach(fault -> fault.strike(fleet));
        for (int i = 0; i < ACTIONS; i++) {
            ActionId action = fleet.action(i, i % 2 == 0);
            actions.add(action);
            fleet.time().after(fleet.random().nextLong(2_000), () -> give(action));
        }
        fleet.time().run(FAULTY_MS);
        OnceFault.heal(fleet);
        fleet.time().run(SETTLE_MS);
    }

    private void give(ActionId action) {
        fleet.persist(fleet.anyRouter(), action, "same", REPEATS);
        if (fleet.random().nextBoolean()) {
            fleet.persist(fleet.anyRouter(), action, "same", REPEATS);
        }
        if (fleet.random().nextInt(8) == 0) {
            fleet.request(fleet.anyRouter(), action, "other");
        }
    }

    private List<OnceRequest> repeatAll() {
        List<OnceRequest> last = new ArrayList<>();
        fleet.routers().stream().filter(router -> router.gate().alive()).forEach(router -> {
            actions.forEach(action -> last.add(fleet.request(router, action, "same")));
            fleet.time().run(GAP_MS);
        });
        return last;
    }
}
