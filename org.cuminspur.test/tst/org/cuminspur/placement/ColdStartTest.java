package org.cuminspur.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.cuminspur.routing.UpstreamSet;
import org.cuminspur.routing.UpstreamView;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks that a cold upstream stays within its allowance, and reaches its full share by the end of the ramp. */
public class ColdStartTest {
    @DataProvider
    Object[][] fleets() {
        return new Object[][] {{1L, 6}, {2L, 6}, {3L, 6}, {4L, 60}};
    }

    @Test
    public void listedRestartStaysWithinColdAllowanceAtTargetSize() {
        listedRestartStaysWithinColdAllowance(5, 360);
    }

    @Test(dataProvider = "fleets")
    public void listedRestartStaysWithinColdAllowance(long seed, int routers) {
        ColdStartSimulation simulation =
                new ColdStartSimulation(seed, routers, 6, ColdStartSimulation::boundedPlacement);
        simulation.restart("engine-0", true);
        // The instance list lags by up to 2.5 s; until it shows the restart, no requests are sent to the old process.
        simulation.fleet().advance(2_500);
        simulation.offerLoad(ColdStartSimulation.RAMP_MS, 8);
        assertEquals(simulation.violations(), List.of());
        assertTrue(simulation.servedCount() > 0);
    }

    @Test(dataProvider = "fleets")
    public void unlimitedPlacementOverloadsTheSameRestart(long seed, int routers) {
        ColdStartSimulation simulation = new ColdStartSimulation(seed, routers, 6, ColdStartTest::anyUpstream);
        simulation.restart("engine-0", true);
        simulation.fleet().advance(2_500);
        simulation.offerLoad(ColdStartSimulation.RAMP_MS, 8);
        assertFalse(simulation.violations().isEmpty());
    }

    @Test
    public void limitPerRouterOverloadsTheSameRestart() {
        ColdStartSimulation simulation = new ColdStartSimulation(1, 6, 6, ColdStartTest::limitPerRouter);
        simulation.restart("engine-0", true);
        simulation.fleet().advance(2_500);
        simulation.offerLoad(ColdStartSimulation.RAMP_MS, 8);
        assertFalse(simulation.violations().isEmpty());
    }

    @Test(dataProvider = "fleets")
    public void joiningAndLeavingRoutersStayWithinColdAllowance(long seed, int routers) {
        ColdStartSimulation simulation =
                new ColdStartSimulation(seed, routers, 6, ColdStartSimulation::boundedPlacement);
        simulation.restart("engine-0", true);
        simulation.fleet().advance(2_500);
        simulation.offerLoad(1_000, 8);
        simulation.fleet().kill("router-1");
        simulation.fleet().startRouter("late-1", "milano");
        simulation.fleet().startRouter("late-2", "torino");
        simulation.fleet().removeFromList("router-1");
        simulation.offerLoad(ColdStartSimulation.RAMP_MS, 8);
        assertEquals(simulation.violations(), List.of());
    }

    @Test
    public void fullShareIsReachedByTheEndOfTheRamp() {
        ColdStartSimulation simulation = new ColdStartSimulation(7, 6, 6, ColdStartSimulation::boundedPlacement);
        simulation.restart("engine-0", true);
        simulation.offerLoad(ColdStartSimulation.RAMP_MS + 1_000, 8);
        double mean = 0;
        double cold = 0;
        for (int i = 0; i < 50; i++) {
            simulation.offerLoad(100, 8);
            cold += simulation.inProgress("engine-0");
            mean += simulation.inProgress("engine-1") / 5.0 + simulation.inProgress("engine-2") / 5.0;
            mean += simulation.inProgress("engine-3") / 5.0 + simulation.inProgress("engine-4") / 5.0;
            mean += simulation.inProgress("engine-5") / 5.0;
        }
        assertTrue(cold > 0.8 * mean, cold + " requests at the restarted upstream, mean of the others " + mean);
    }

    @Test
    public void restartOfAllUpstreamsServesWithinColdAllowance() {
        ColdStartSimulation simulation = new ColdStartSimulation(8, 6, 6, ColdStartSimulation::boundedPlacement);
        for (int i = 0; i < 6; i++) {
            simulation.restart("engine-" + i, true);
        }
        simulation.fleet().advance(2_500);
        simulation.offerLoad(ColdStartSimulation.RAMP_MS, 8);
        assertEquals(simulation.violations(), List.of());
        assertTrue(simulation.servedCount() > 1_000, "served " + simulation.servedCount());
    }

    @Test
    public void unlistedRestartIsKnownToAllRouters() {
        ColdStartSimulation simulation = new ColdStartSimulation(9, 60, 6, ColdStartSimulation::boundedPlacement);
        simulation.offerLoad(2_000, 8);
        simulation.restart("engine-0", false);
        simulation.offerLoad(3_000, 8);
        long limited = simulation
                .fleet()
                .routers()
                .filter(router -> router.core()
                        .state()
                        .upstreams()
                        .anyMatch(upstream ->
                                upstream.id().value().equals("engine-0") && upstream.allowance() < Integer.MAX_VALUE))
                .count();
        assertEquals(limited, 60);
    }

    private static Optional<UpstreamView> anyUpstream(UpstreamSet set, long chat) {
        UpstreamView view = set.view((int) Math.floorMod(chat, (long) set.size()));
        view.tracker().tryStart(Integer.MAX_VALUE);
        return Optional.of(view);
    }

    private static Optional<UpstreamView> limitPerRouter(UpstreamSet set, long chat) {
        UpstreamView view = set.view((int) Math.floorMod(chat, (long) set.size()));
        return Optional.of(view).filter(chosen -> chosen.tracker().tryStart(ColdStartSimulation.COLD_ALLOWANCE));
    }
}
