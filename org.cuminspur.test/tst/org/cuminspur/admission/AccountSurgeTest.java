package org.cuminspur.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.IntStream;
import org.cuminspur.config.Priority;
import org.cuminspur.id.AccountId;
import org.cuminspur.testing.MemoryRouter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks that one account's surge costs the others little, at every priority. */
public class AccountSurgeTest {
    private static final double MAX_COST = 0.05;
    private static final long HOLD_MS = 400;
    private static final long CALM_MS = 4_000;
    private static final long SURGE_MS = 6_000;
    private static final int SLOTS = 20;
    private static final int OTHERS = 9;
    private static final FairAdmission.Capacity CAPACITY = new FairAdmission.Capacity(SLOTS, 8, 1_000);
    private static final FairAdmission.Capacity UNBOUNDED =
            new FairAdmission.Capacity(SLOTS, Integer.MAX_VALUE, Long.MAX_VALUE);

    /** Returns fleet size, priority of the surging account, and seed. */
    @DataProvider
    public Object[][] surges() {
        return new Object[][] {
            {6, Priority.HIGH, 1L},
            {6, Priority.NORMAL, 2L},
            {6, Priority.LOW, 3L},
            {6, Priority.HIGH, 4L},
            {60, Priority.HIGH, 5L},
            {60, Priority.LOW, 6L},
            {360, Priority.HIGH, 7L},
        };
    }

    @Test(dataProvider = "surges")
    public void surgeOfOneAccountCostsTheOthersLittle(int routers, Priority priority, long seed) {
        assertEquals(run(routers, priority, seed, AccountBench.fair(CAPACITY)), Optional.empty());
    }

    @Test
    public void firstComeFirstServedFailsTheCheck() {
        assertNotEquals(
                run(
                        6,
                        Priority.HIGH,
                        1,
                        bench -> router ->
                                new NaiveAdmission(CAPACITY, bench.fleet().time()::after)),
                Optional.empty());
    }

    @Test
    public void queueWithoutBoundsFailsTheCheck() {
        assertNotEquals(run(6, Priority.HIGH, 1, AccountBench.fair(UNBOUNDED)), Optional.empty());
    }

    private static Optional<String> run(
            int routers,
            Priority priority,
            long seed,
            Function<AccountBench, Function<MemoryRouter, Admission>> admission) {
        AccountBench bench = new AccountBench(seed, routers, admission);
        double capacity = routers * SLOTS * 1_000.0 / HOLD_MS;
        double each = 0.6 * capacity / (OTHERS + 1);
        List<String> others =
                IntStream.range(0, OTHERS).mapToObj(i -> "account-" + i).toList();
        others.forEach(name -> bench.with(name, Priority.values()[others.indexOf(name) % 3], 900_000, 900_000));
        bench.with("surging", priority, 900_000, 900_000).publish();
        long start = bench.fleet().time().now();
        others.forEach(name -> bench.load(name, each, HOLD_MS, CALM_MS + SURGE_MS, router -> true));
        bench.load("surging", each, HOLD_MS, CALM_MS, router -> true);
        bench.fleet().run(CALM_MS);
        long surge = bench.fleet().time().now();
        bench.load("surging", 10 * each, HOLD_MS, SURGE_MS, router -> true);
        bench.fleet().run(SURGE_MS + 2_000);
        return others.stream()
                .map(name -> AccountChecks.cost(
                        bench.requests(), new AccountId(name), start, surge, surge + SURGE_MS, MAX_COST))
                .flatMap(Optional::stream)
                .findFirst()
                .or(() -> AccountChecks.answered(
                        bench.requests(), bench.fleet().time().now()));
    }
}
