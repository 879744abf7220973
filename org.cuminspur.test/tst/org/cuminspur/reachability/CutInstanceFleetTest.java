package org.cuminspur.reachability;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.ServiceId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks at the sizes of the deployments that instances which are cut off from upstreams serve their callers. */
public class CutInstanceFleetTest {
    private static final long BEFORE_MS = 6_000;
    private static final long CUT_MS = 12_000;
    private static final long BETWEEN_MS = 6_000;
    private static final long AFTER_MS = 14_000;
    private static final long RETURN_MS = 5_000;
    private static final long TIMEOUT_MS = 4_000;
    private static final double MIN_SERVED_AFTER = 0.97;
    private static final Set<ServiceId> ALL = Set.of(CutSimulation.BUSY, CutSimulation.RARE);
    private static final Set<ServiceId> ONE = Set.of(CutSimulation.BUSY);

    private static final CutFleet SMALL = new CutFleet(6, 3, 9, 60, 3, 3_000, 0.05);
    private static final CutFleet LARGE = new CutFleet(74, 3, 63, 300, 15, 4_000, 0.05);
    private static final CutFleet LARGEST = new CutFleet(83, 3, 98, 390, 20, 4_000, 0.05);

    /** Which instances are cut off. */
    enum Extent {
        ONE_INSTANCE,
        DOMAIN,
        ALL_BUT_ONE;

        Set<InstanceId> of(CutSimulation run) {
            List<SimulatedInstance> all = run.instances();
            Stream<SimulatedInstance> affected = switch (this) {
                case ONE_INSTANCE -> all.stream().limit(1);
                case DOMAIN -> all.stream().filter(one -> one.domain.equals(all.get(0).domain));
                default -> all.stream().skip(1);
            };
            return affected.map(one -> one.id).collect(Collectors.toSet());
        }
    }

    @DataProvider
    public Object[][] cuts() {
        List<Object[]> rows = new ArrayList<>();
        for (CutFleet fleet : List.of(SMALL, LARGE, LARGEST)) {
            for (Extent extent : Extent.values()) {
                for (Cut.Manner manner : Cut.Manner.values()) {
                    rows.add(new Object[] {fleet, extent, manner, ALL});
                }
                rows.add(new Object[] {fleet, extent, Cut.Manner.HANG, ONE});
            }
        }
        return rows.toArray(Object[][]::new);
    }

    @DataProvider
    public Object[][] seeds() {
        return Stream.of(1L, 2L, 3L).map(seed -> new Object[] {seed}).toArray(Object[][]::new);
    }

    @Test(dataProvider = "cuts")
    public void callersOfCutInstancesAreServed(
            CutFleet fleet, Extent extent, Cut.Manner manner, Set<ServiceId> services) {
        CutSimulation run = run(fleet, extent, manner, services, MonitoredPathPolicy::new, 1);
        CutChecker checker = run.checker();
        assertTrue(checker.callersAreServed(), checker.toString());
        assertTrue(checker.runsAtMostOnce() && checker.noRequestGoesOnFromRelay(), checker.toString());
        assertTrue(checker.relaysReachUpstreams(), checker.toString());
        long end = run.time().nowMillis();
        double after = checker.servedShare(end - AFTER_MS + RETURN_MS, end - TIMEOUT_MS);
        assertTrue(after >= MIN_SERVED_AFTER, "served after the cuts: " + after);
        assertEquals(checker.messagesBeforeAnyCut(), 0);
    }

    @Test(dataProvider = "seeds")
    public void ownPathOnlyIsDetected(long seed) {
        assertFalse(naive((run, self) -> NaivePathPolicies.ownPathOnly(), seed).callersAreServed());
    }

    @Test(dataProvider = "seeds")
    public void readinessAloneIsDetected(long seed) {
        assertFalse(
                naive((run, self) -> NaivePathPolicies.readinessOnly(run), seed).callersAreServed());
    }

    @Test(dataProvider = "seeds")
    public void relayThatIsCutOffItselfIsDetected(long seed) {
        assertFalse(naive(NaivePathPolicies::anyRelay, seed).relaysReachUpstreams());
    }

    @Test(dataProvider = "seeds")
    public void secondHopIsDetected(long seed) {
        assertFalse(naive(NaivePathPolicies::manyHops, seed).noRequestGoesOnFromRelay());
    }

    @Test(dataProvider = "seeds")
    public void repeatOfWhatMayHaveRunIsDetected(long seed) {
        assertFalse(naive(NaivePathPolicies::repeatsAll, seed).runsAtMostOnce());
    }

    private static CutChecker naive(BiFunction<CutSimulation, SimulatedInstance, PathPolicy> policy, long seed) {
        return run(SMALL, Extent.DOMAIN, Cut.Manner.REFUSE, ALL, policy, seed).checker();
    }

    /** Cuts the same instances off twice. */
    private static CutSimulation run(
            CutFleet fleet,
            Extent extent,
            Cut.Manner manner,
            Set<ServiceId> services,
            BiFunction<CutSimulation, SimulatedInstance, PathPolicy> policy,
            long seed) {
        CutSimulation run = new CutSimulation(fleet, policy, seed);
        run.advance(BEFORE_MS);
        run.cut(manner, extent.of(run), services, CUT_MS);
        run.advance(CUT_MS + BETWEEN_MS);
        run.cut(manner, extent.of(run), services, CUT_MS);
        run.advance(CUT_MS + AFTER_MS);
        return run;
    }
}
