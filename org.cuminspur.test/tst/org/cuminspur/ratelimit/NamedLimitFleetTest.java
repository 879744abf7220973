package org.cuminspur.ratelimit;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.function.BiFunction;
import java.util.function.DoubleUnaryOperator;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks at the sizes of the deployments that upstreams get no more than the limits that they name, and that much. */
public class NamedLimitFleetTest {
    private static final int SEEDS = 4;
    private static final int LARGE_FLEET = 20;
    private static final long BEFORE_MS = 10_000;
    private static final long LIMITED_MS = 16_000;
    private static final long AFTER_MS = 9_000;
    private static final double AFTER_SECONDS = 6;
    private static final double SECOND_MS = 1_000;

    /** Least share of callers' requests that are taken where upstreams without limits are left. */
    private static final double MIN_TAKEN = 0.98;

    /** Four queries and replies, and what is known told by each instance to two others twice a second, in four messages. */
    private static final double MAX_MESSAGES_PER_REQUEST = 12;

    private static final LimitFleet SMALL = new LimitFleet(6, 6, 40, 0.7, 0.35, 3_000, 0.05, 4_000);
    private static final LimitFleet SMALL_ALL = new LimitFleet(6, 6, 40, 1, 0.35, 3_000, 0.05, 4_000);
    private static final LimitFleet SMALL_LOSSY = new LimitFleet(6, 6, 40, 0.5, 0.2, 3_000, 0.3, 2_000);
    private static final LimitFleet LARGE = new LimitFleet(74, 63, 300, 0.6, 0.3, 4_000, 0.05, 1_000);
    private static final LimitFleet LARGEST = new LimitFleet(83, 98, 390, 0.6, 0.2, 4_000, 0.05, 1_000);
    private static final LimitFleet LARGEST_ALL = new LimitFleet(83, 98, 390, 1, 0.3, 4_000, 0.05, 1_000);

    @DataProvider
    public Object[][] fleets() {
        return seeds(SMALL, SMALL_ALL, SMALL_LOSSY, LARGE, LARGEST, LARGEST_ALL);
    }

    /** Fleets in which one request a second of each instance is more than a limit allows. */
    @DataProvider
    public Object[][] fleetsOverLimits() {
        return seeds(SMALL_LOSSY, LARGE, LARGEST, LARGEST_ALL);
    }

    /** Fleets in which each instance knows all limits by its own responses. */
    @DataProvider
    public Object[][] smallFleets() {
        return seeds(SMALL, SMALL_ALL);
    }

    private static Object[][] seeds(LimitFleet... fleets) {
        return Stream.of(fleets)
                .flatMap(fleet -> LongStream.rangeClosed(1, fleet.instances() < LARGE_FLEET ? SEEDS : 1)
                        .mapToObj(seed -> new Object[] {fleet, seed}))
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "fleets")
    public void upstreamsGetNoMoreThanTheyName(LimitFleet fleet, long seed) {
        NamedLimitSimulation run = run(fleet, PermitPolicy::new, seed);
        NamedLimitChecker checker = run.checker();
        assertTrue(checker.withinLimits() && checker.limitsAreUsed(), checker.toString());
        assertTrue(checker.endIsNoticed(AFTER_SECONDS), checker.toString());
        assertTrue(run.messagesPerRequest() <= MAX_MESSAGES_PER_REQUEST, "messages " + run.messagesPerRequest());
        assertTrue(fleet.limitedShare() == 1 || checker.takenShare() >= MIN_TAKEN, checker.toString());
    }

    @Test(dataProvider = "fleets")
    public void ignoringLimitsIsDetected(LimitFleet fleet, long seed) {
        NamedLimitChecker checker =
                run(fleet, ownShare(limit -> Double.MAX_VALUE), seed).checker();
        assertFalse(checker.withinLimits(), checker.toString());
    }

    @Test(dataProvider = "fleets")
    public void keepingTheLimitAloneIsDetected(LimitFleet fleet, long seed) {
        NamedLimitChecker checker =
                run(fleet, ownShare(limit -> Math.max(1, limit)), seed).checker();
        assertFalse(checker.withinLimits(), checker.toString());
    }

    @Test(dataProvider = "fleetsOverLimits")
    public void sharesThatAreRoundedUpAreDetected(LimitFleet fleet, long seed) {
        NamedLimitChecker checker = run(fleet, ownShare(limit -> Math.ceil(limit / fleet.instances())), seed)
                .checker();
        assertFalse(checker.withinLimits(), checker.toString());
    }

    @Test(dataProvider = "smallFleets")
    public void sharesThatAreRoundedDownAreDetected(LimitFleet fleet, long seed) {
        NamedLimitChecker checker = run(fleet, ownShare(limit -> Math.floor(limit / fleet.instances())), seed)
                .checker();
        assertFalse(checker.limitsAreUsed() && checker.endIsNoticed(AFTER_SECONDS), checker.toString());
    }

    private static BiFunction<NamedLimitSimulation, NamedLimitSimulation.Instance, LimitPolicy> ownShare(
            DoubleUnaryOperator share) {
        return (run, instance) -> NaiveLimitPolicies.ownShare(run.time().clock(), instance.placement(), share);
    }

    static NamedLimitSimulation run(
            LimitFleet fleet,
            BiFunction<NamedLimitSimulation, NamedLimitSimulation.Instance, LimitPolicy> policies,
            long seed) {
        NamedLimitSimulation run = new NamedLimitSimulation(fleet, policies, seed);
        run.advance(BEFORE_MS);
        run.beginLimits(BEFORE_MS / SECOND_MS);
        run.advance(LIMITED_MS);
        run.endLimits();
        run.advance(AFTER_MS);
        return run;
    }
}
