package org.cuminspur.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.UpstreamId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks that limits shared by a fleet without messages between instances hold in sum, at each fleet size. */
public class SharedLimitsTest {
    private long now = 1_000_000;

    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {{1}, {6}, {9}, {83}, {360}};
    }

    @Test(dataProvider = "sizes")
    public void coldSharesSumToNoMoreThanTheRate(int size) {
        List<InstanceId> fleet = TrafficFixtures.instances(size);
        double bound = TrafficFixtures.LIMITS.warmupPerSecond() * TrafficFixtures.BOUNDS.coldRateFactor()
                + TrafficFixtures.BOUNDS.coldRateSlack();
        for (int i = 0; i < 20; i++) {
            UpstreamId upstream = new UpstreamId("upstream-" + i);
            int sum = fleet.stream()
                    .mapToInt(self -> ColdRateShare.requestsPerSecond(
                            upstream, self, fleet, TrafficFixtures.LIMITS, TrafficFixtures.BOUNDS))
                    .sum();
            assertTrue(sum <= bound && sum >= bound / 2, "sum " + sum + " of " + bound);
        }
    }

    @Test(dataProvider = "sizes")
    public void retriesOfTheFleetStayWithinTheBound(int size) {
        List<FleetRetryBudget> budgets = TrafficFixtures.instances(size).stream()
                .map(instance -> new FleetRetryBudget(TrafficFixtures.BOUNDS, () -> now))
                .toList();
        budgets.forEach(budget -> budget.setFleetSize(size));
        int requests = 0;
        int retries = 0;
        // Every request fails and is retried if the budget allows it, all within one window.
        for (int i = 0; i < 2_000; i++) {
            FleetRetryBudget budget = budgets.get(i % size);
            budget.recordRequest();
            requests++;
            retries += budget.tryAcquire() ? 1 : 0;
            now += 4;
        }
        double bound = TrafficFixtures.BOUNDS.retryRatio() * requests + TrafficFixtures.BOUNDS.retrySlack();
        assertTrue(retries <= bound, retries + " of " + bound);
    }

    @Test
    public void retriesOutsideTheWindowAreNotCounted() {
        FleetRetryBudget budget = new FleetRetryBudget(TrafficFixtures.BOUNDS, () -> now);
        int first = drain(budget);
        now += TrafficFixtures.BOUNDS.retryWindowMillis() + 1;
        assertEquals(drain(budget), first);
    }

    private static int drain(FleetRetryBudget budget) {
        int taken = 0;
        while (budget.tryAcquire()) {
            taken++;
        }
        return taken;
    }
}
