package org.cuminspur.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.IntStream;
import org.cuminspur.config.Priority;
import org.cuminspur.id.AccountId;
import org.cuminspur.testing.SimulatedControlRouter;
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
        assertEquals(run(routers, priority, seed, AdmissionSimulation.fairAdmission(CAPACITY)), Optional.empty());
    }

    @Test
    public void firstComeFirstServedFailsTheCheck() {
        assertNotEquals(
                run(
                        6,
                        Priority.HIGH,
                        1,
                        simulation -> router ->
                                new FifoAdmission(CAPACITY, simulation.fleet().time()::schedule)),
                Optional.empty());
    }

    @Test
    public void queueWithoutBoundsFailsTheCheck() {
        assertNotEquals(run(6, Priority.HIGH, 1, AdmissionSimulation.fairAdmission(UNBOUNDED)), Optional.empty());
    }

    private static Optional<String> run(
            int routers,
            Priority priority,
            long seed,
            Function<AdmissionSimulation, Function<SimulatedControlRouter, Admission>> admission) {
        AdmissionSimulation simulation = new AdmissionSimulation(seed, routers, admission);
        double capacity = routers * SLOTS * 1_000.0 / HOLD_MS;
        double ratePerAccount = 0.6 * capacity / (OTHERS + 1);
        List<String> others =
                IntStream.range(0, OTHERS).mapToObj(i -> "account-" + i).toList();
        others.forEach(
                name -> simulation.withAccount(name, Priority.values()[others.indexOf(name) % 3], 900_000, 900_000));
        simulation.withAccount("surging", priority, 900_000, 900_000).publish();
        long start = simulation.fleet().time().nowMillis();
        others.forEach(name -> simulation.offerLoad(name, ratePerAccount, HOLD_MS, CALM_MS + SURGE_MS, router -> true));
        simulation.offerLoad("surging", ratePerAccount, HOLD_MS, CALM_MS, router -> true);
        simulation.fleet().advance(CALM_MS);
        long surge = simulation.fleet().time().nowMillis();
        simulation.offerLoad("surging", 10 * ratePerAccount, HOLD_MS, SURGE_MS, router -> true);
        simulation.fleet().advance(SURGE_MS + 2_000);
        return others.stream()
                .map(name -> AdmissionChecks.checkCost(
                        simulation.requests(), new AccountId(name), start, surge, surge + SURGE_MS, MAX_COST))
                .flatMap(Optional::stream)
                .findFirst()
                .or(() -> AdmissionChecks.checkAnsweredOnce(
                        simulation.requests(), simulation.fleet().time().nowMillis()));
    }
}
