package org.cuminspur.traffic;

import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks the load bound in fleets where each instance sends few requests to any one upstream. */
public class FleetLoadBoundTest {
    private static final PromptFleetSimulation.Deployment VLIELAND_GROWN = new PromptFleetSimulation.Deployment(
            "vlieland-grown",
            74,
            63,
            247,
            200,
            List.of(
                    new PromptFleetSimulation.Kind(0.234, 178, 107, 1_719),
                    new PromptFleetSimulation.Kind(0.386, 294, 55, 1_247),
                    new PromptFleetSimulation.Kind(0.38, 654, 66, 47)));
    private static final PromptFleetSimulation.Deployment FONDO_GROWN = new PromptFleetSimulation.Deployment(
            "fondo-grown",
            83,
            98,
            370,
            100,
            List.of(
                    new PromptFleetSimulation.Kind(0.212, 266, 107, 1_719),
                    new PromptFleetSimulation.Kind(0.329, 276, 55, 1_247),
                    new PromptFleetSimulation.Kind(0.459, 578, 66, 47)));
    private static final long SETTLE_MS = 20_000;
    private static final long JOIN_INTERVAL_MS = 80;
    private static final long WARMUP_MS = 3_000;
    private static final int REPLACED = 6;
    private static final long START_BEFORE_DRAIN_MS = 1_000;
    private static final long NEXT_AFTER_DRAIN_MS = 500;
    private static final long DRAIN_SETTLE_MS = 4_000;
    private static final long DRAINED_MS = 12_000;
    private static final int SEEDS = 6;

    @DataProvider
    Object[][] deployments() {
        return Stream.of(VLIELAND_GROWN, FONDO_GROWN)
                .flatMap(deployment -> Stream.of(deployment, deployment.withFreshReports()))
                .flatMap(deployment ->
                        LongStream.rangeClosed(1, SEEDS).mapToObj(seed -> new Object[] {deployment, seed}))
                .toArray(Object[][]::new);
    }

    /** Prompts keep their owners when a fifth more upstreams join, which lowers the mean and so the bound. */
    @Test(dataProvider = "deployments")
    public void ownersStayWithinTheLoadBoundAfterUpstreamsJoin(PromptFleetSimulation.Deployment deployment, long seed) {
        PromptFleetSimulation simulation = new PromptFleetSimulation(deployment, seed);
        simulation.advance(SETTLE_MS);
        for (int i = 0; i < deployment.upstreams() / 5; i++) {
            simulation.join();
            simulation.advance(JOIN_INTERVAL_MS);
        }
        simulation.advance(WARMUP_MS);
        simulation.checker().reset();
        for (int i = 0; i < REPLACED; i++) {
            simulation.join();
            simulation.advance(START_BEFORE_DRAIN_MS);
            simulation.drainOldest();
            simulation.advance(NEXT_AFTER_DRAIN_MS);
        }
        assertBoundHeld(simulation);
    }

    /** Upstreams that get no new work hold little, so the mean is below that of the others. */
    @Test(dataProvider = "deployments")
    public void ownersStayWithinTheLoadBoundWhileADomainIsDrained(
            PromptFleetSimulation.Deployment deployment, long seed) {
        PromptFleetSimulation simulation = new PromptFleetSimulation(deployment, seed);
        simulation.advance(SETTLE_MS);
        simulation.drainDomain();
        simulation.advance(DRAIN_SETTLE_MS);
        simulation.checker().reset();
        simulation.advance(DRAINED_MS);
        simulation.restoreDomain();
        simulation.advance(DRAINED_MS);
        assertBoundHeld(simulation);
    }

    private static void assertBoundHeld(PromptFleetSimulation simulation) {
        assertTrue(
                simulation.checker().worstShare() <= LoadBoundChecker.MAX_SHARE_OVER,
                "worst share " + simulation.checker().worstShare() + ", on owner " + simulation.ownerShare());
    }
}
