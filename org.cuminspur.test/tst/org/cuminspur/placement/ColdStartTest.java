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

/** Checks that an upstream that has just started carries no more than it bears, and that it gets its share in time. */
public class ColdStartTest {
    @DataProvider
    Object[][] fleets() {
        return new Object[][] {{1L, 6}, {2L, 6}, {3L, 6}, {4L, 60}};
    }

    @Test
    public void listedStartStaysWithinWhatIsBorneAtTargetSize() {
        listedStartStaysWithinWhatIsBorne(5, 360);
    }

    @Test(dataProvider = "fleets")
    public void listedStartStaysWithinWhatIsBorne(long seed, int routers) {
        ColdFleet fleet = new ColdFleet(seed, routers, 6, ColdFleet::placement);
        fleet.restart("engine-0", true);
        // The list lags by up to 2.5 s; until it shows the start, the platform sends nothing to the old process.
        fleet.fleet().run(2_500);
        fleet.offer(ColdFleet.RAMP_MS, 8);
        assertEquals(fleet.violations(), List.of());
        assertTrue(fleet.served() > 0);
    }

    @Test(dataProvider = "fleets")
    public void naivePlacementOverloadsTheSameStart(long seed, int routers) {
        ColdFleet fleet = new ColdFleet(seed, routers, 6, ColdStartTest::naive);
        fleet.restart("engine-0", true);
        fleet.fleet().run(2_500);
        fleet.offer(ColdFleet.RAMP_MS, 8);
        assertFalse(fleet.violations().isEmpty());
    }

    @Test
    public void limitOfEachRouterAloneOverloadsTheSameStart() {
        ColdFleet fleet = new ColdFleet(1, 6, 6, ColdStartTest::limitPerRouter);
        fleet.restart("engine-0", true);
        fleet.fleet().run(2_500);
        fleet.offer(ColdFleet.RAMP_MS, 8);
        assertFalse(fleet.violations().isEmpty());
    }

    @Test(dataProvider = "fleets")
    public void routersThatJoinAndLeaveKeepTheBound(long seed, int routers) {
        ColdFleet fleet = new ColdFleet(seed, routers, 6, ColdFleet::placement);
        fleet.restart("engine-0", true);
        fleet.fleet().run(2_500);
        fleet.offer(1_000, 8);
        fleet.fleet().kill("router-1");
        fleet.fleet().start("late-1", "milano");
        fleet.fleet().start("late-2", "torino");
        fleet.fleet().unlist("router-1");
        fleet.offer(ColdFleet.RAMP_MS, 8);
        assertEquals(fleet.violations(), List.of());
    }

    @Test
    public void fullShareIsReachedByTheEndOfTheRamp() {
        ColdFleet fleet = new ColdFleet(7, 6, 6, ColdFleet::placement);
        fleet.restart("engine-0", true);
        fleet.offer(ColdFleet.RAMP_MS + 1_000, 8);
        double mean = 0;
        double cold = 0;
        for (int i = 0; i < 50; i++) {
            fleet.offer(100, 8);
            cold += fleet.inProgress("engine-0");
            mean += fleet.inProgress("engine-1") / 5.0 + fleet.inProgress("engine-2") / 5.0;
            mean += fleet.inProgress("engine-3") / 5.0 + fleet.inProgress("engine-4") / 5.0;
            mean += fleet.inProgress("engine-5") / 5.0;
        }
        assertTrue(cold > 0.8 * mean, cold + " of " + mean);
    }

    @Test
    public void fleetWideStartServesWithinWhatIsBorne() {
        ColdFleet fleet = new ColdFleet(8, 6, 6, ColdFleet::placement);
        for (int i = 0; i < 6; i++) {
            fleet.restart("engine-" + i, true);
        }
        fleet.fleet().run(2_500);
        fleet.offer(ColdFleet.RAMP_MS, 8);
        assertEquals(fleet.violations(), List.of());
        assertTrue(fleet.served() > 1_000, "served " + fleet.served());
    }

    @Test
    public void suddenColdIsKnownToAllRoutersSoon() {
        ColdFleet fleet = new ColdFleet(9, 60, 6, ColdFleet::placement);
        fleet.offer(2_000, 8);
        fleet.restart("engine-0", false);
        fleet.offer(3_000, 8);
        long limited = fleet.fleet()
                .routers()
                .filter(router -> router.core()
                        .state()
                        .upstreams()
                        .anyMatch(upstream ->
                                upstream.id().value().equals("engine-0") && upstream.allowance() < Integer.MAX_VALUE))
                .count();
        assertEquals(limited, 60);
    }

    private static Optional<UpstreamView> naive(UpstreamSet set, long chat) {
        UpstreamView view = set.view((int) Math.floorMod(chat, (long) set.size()));
        view.tracker().tryStart(Integer.MAX_VALUE);
        return Optional.of(view);
    }

    private static Optional<UpstreamView> limitPerRouter(UpstreamSet set, long chat) {
        UpstreamView view = set.view((int) Math.floorMod(chat, (long) set.size()));
        return Optional.of(view).filter(chosen -> chosen.tracker().tryStart(ColdFleet.BEARS));
    }
}
