package org.cuminspur.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.cuminspur.control.Target.Kind;
import org.cuminspur.id.FailureDomainId;
import org.cuminspur.testing.SimulatedControlFleet;
import org.cuminspur.testing.SimulatedControlRouter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks that orders and leaving upstreams take effect in time on every reachable router. */
public class OrderFleetTest {
    private static final List<String> SMALL = List.of("milano", "torino", "verona");
    private static final List<String> LARGE = List.of("milano", "a2", "a3", "b1", "b2", "torino", "c1", "verona");
    private static final Target VERONA = new Target(Kind.DOMAIN, "verona");

    /** A fault injected before the order is submitted or the upstream leaves. */
    enum Fault {
        NONE(fleet -> {}),
        STORE_DOWN(OrderFleetTest::startStoreOutage),
        LOSS(fleet -> fleet.linkFaults().lossProbability(0.2)),
        CROSS(fleet -> fleet.linkFaults().delay(1, 400)),
        REPEAT(fleet -> fleet.linkFaults().duplicationProbability(0.5)),
        CUT(fleet -> fleet.linkFaults()
                .partitioned((from, to) -> inMilano(fleet, from.value()) != inMilano(fleet, to.value()))),
        STALE_LIST(fleet -> fleet.setMaxListLag(60_000)),
        FREEZE(fleet -> {
            fleet.router("router-1").freeze();
            fleet.time().schedule(6_000, () -> fleet.router("router-1").unfreeze());
        });

        private final Consumer<SimulatedControlFleet> action;

        Fault(Consumer<SimulatedControlFleet> action) {
            this.action = action;
        }
    }

    private static boolean inMilano(SimulatedControlFleet fleet, String router) {
        return fleet.router(router).identity().domain().value().equals("milano");
    }

    static void startStoreOutage(SimulatedControlFleet fleet) {
        fleet.routers().forEach(router -> router.store().faults().outage(true));
    }

    /** Starts a fleet with one upstream in each of three failure domains, and returns it once settled. */
    static SimulatedControlFleet settledFleet(SimulatedControlFleet fleet, int routers) {
        fleet.startRouters(routers, routers > 6 ? LARGE : SMALL);
        SMALL.forEach(domain -> fleet.listUpstream("booking-" + domain, "booking", domain));
        fleet.advance(2_000);
        new OperatorChecker(fleet).publish("setup", "booking.ini", "[service booking]\nkind = plain\n");
        fleet.advance(4_000);
        assertTrue(fleet.routers().allMatch(router -> OperatorChecker.uses(router, "booking-verona")));
        return fleet;
    }

    static void submitOrder(SimulatedControlFleet fleet, String router, Target target, boolean out, String by) {
        fleet.router(router).accept(new ControlInput.OrderSubmitted(target, out, by));
    }

    static boolean isVeronaOut(SimulatedControlRouter router) {
        return router.core().state().isOutOfService(new FailureDomainId("verona"));
    }

    @DataProvider
    public Object[][] faults() {
        return ConfigFleetTest.pairs(Fault.values());
    }

    @Test(dataProvider = "faults")
    public void takenOutDomainGetsNoNewWork(Fault first, Fault second) {
        for (long seed = 21; seed <= 25; seed++) {
            checkDomainTakenOut(new SimulatedControlFleet(seed), 6, first, second);
        }
    }

    @Test
    public void takenOutDomainGetsNoNewWorkFromManyRouters() {
        checkDomainTakenOut(new SimulatedControlFleet(27), 360, Fault.STORE_DOWN, Fault.LOSS);
    }

    private static void checkDomainTakenOut(SimulatedControlFleet fresh, int routers, Fault first, Fault second) {
        SimulatedControlFleet fleet = settledFleet(fresh, routers);
        OperatorChecker checker = new OperatorChecker(fleet);
        first.action.accept(fleet);
        second.action.accept(fleet);
        boolean partitioned = List.of(first, second).containsAll(List.of(Fault.STORE_DOWN, Fault.CUT));
        Predicate<SimulatedControlRouter> reachable =
                router -> !partitioned || inMilano(fleet, router.id().value());
        checker.reachable(reachable);
        submitOrder(fleet, "router-0", VERONA, true, "one");
        checker.requireUnused("booking-verona");
        fleet.advance(12_000);
        assertEquals(checker.violations(), List.of(), first + " with " + second);
        fleet.routers().filter(reachable).forEach(router -> {
            assertEquals(
                    router.core().snapshot().ready(),
                    !router.identity().domain().value().equals("verona"));
            assertTrue(OperatorChecker.uses(router, "booking-milano"));
        });
    }

    @Test
    public void concurrentOrderAndPublicationBothTakeEffect() {
        for (long seed = 111; seed <= 120; seed++) {
            SimulatedControlFleet fleet = settledFleet(new SimulatedControlFleet(seed), 6);
            OperatorChecker checker = new OperatorChecker(fleet);
            checker.publish("at-once", "booking.ini", "[service booking]\nkind = plain\n# changed\n");
            submitOrder(fleet, "router-0", VERONA, true, "one");
            checker.requireUnused("booking-verona");
            fleet.advance(5_000);
            assertEquals(checker.violations(), List.of());
            assertTrue(fleet.routers().allMatch(OrderFleetTest::isVeronaOut));
        }
    }

    @Test(dataProvider = "faults")
    public void leavingUpstreamGetsNoNewWork(Fault first, Fault second) {
        for (long seed = 31; seed <= 35; seed++) {
            checkUpstreamLeaving(new SimulatedControlFleet(seed), 6, first, second);
        }
    }

    @Test
    public void leavingUpstreamGetsNoNewWorkFromManyRouters() {
        checkUpstreamLeaving(new SimulatedControlFleet(37), 360, Fault.STALE_LIST, Fault.LOSS);
    }

    private static void checkUpstreamLeaving(SimulatedControlFleet fresh, int routers, Fault first, Fault second) {
        OperatorChecker checker = runUpstreamLeaving(fresh, routers, first, second);
        assertEquals(checker.violations(), List.of(), first + " with " + second);
    }

    /** Makes an upstream leave under faults and returns the checker. */
    static OperatorChecker runUpstreamLeaving(SimulatedControlFleet fresh, int routers, Fault... faults) {
        SimulatedControlFleet fleet = settledFleet(fresh, routers);
        OperatorChecker checker = new OperatorChecker(fleet);
        List.of(faults).forEach(fault -> fault.action.accept(fleet));
        fleet.markLeaving("booking-verona");
        runUntilFirstRouterStopsUsing(fleet);
        boolean partitioned = List.of(faults).containsAll(List.of(Fault.CUT, Fault.STALE_LIST));
        List<Boolean> informedSides = fleet.routers()
                .filter(router -> !OperatorChecker.uses(router, "booking-verona"))
                .map(router -> inMilano(fleet, router.id().value()))
                .toList();
        checker.reachable(router -> !partitioned
                || informedSides.contains(inMilano(fleet, router.id().value())));
        checker.requireUnused("booking-verona");
        fleet.advance(12_000);
        return checker;
    }

    /** Runs until the list has reached one router, which is when the bound starts. */
    private static void runUntilFirstRouterStopsUsing(SimulatedControlFleet fleet) {
        while (fleet.routers().allMatch(router -> OperatorChecker.uses(router, "booking-verona"))) {
            fleet.advance(50);
        }
    }

    @Test
    public void laterOrderWinsEvenIfItsRouterMissedTheEarlierOne() {
        assertTrue(laterOrderWins(settledFleet(new SimulatedControlFleet(41), 6), VERONA));
    }

    /** Takes a domain out twice, brings it back at a router that missed both orders, and returns whether it is back. */
    static boolean laterOrderWins(SimulatedControlFleet fleet, Target domain) {
        startStoreOutage(fleet);
        fleet.linkFaults()
                .partitioned((from, to) ->
                        from.value().equals("router-5") || to.value().equals("router-5"));
        submitOrder(fleet, "router-0", domain, true, "one");
        fleet.advance(1_000);
        submitOrder(fleet, "router-0", domain, true, "one again");
        fleet.advance(10_000);
        submitOrder(fleet, "router-5", domain, false, "two");
        fleet.linkFaults().partitioned((from, to) -> false);
        fleet.advance(4_000);
        return fleet.routers().noneMatch(OrderFleetTest::isVeronaOut);
    }

    @Test
    public void concurrentOrdersConvergeToDomainOut() {
        for (long seed = 43; seed <= 52; seed++) {
            SimulatedControlFleet fleet = settledFleet(new SimulatedControlFleet(seed), 6);
            submitOrder(fleet, "router-3", VERONA, false, "two");
            submitOrder(fleet, "router-0", VERONA, true, "one");
            submitOrder(fleet, "router-4", VERONA, true, "three");
            fleet.advance(4_000);
            assertTrue(fleet.routers().allMatch(OrderFleetTest::isVeronaOut));
            assertEquals(
                    fleet.routers()
                            .map(router -> router.core().state().order(VERONA))
                            .distinct()
                            .count(),
                    1);
        }
    }

    @Test
    public void orderSurvivesItsRouterAndIsStoredLater() {
        SimulatedControlFleet fleet = settledFleet(new SimulatedControlFleet(53), 6);
        startStoreOutage(fleet);
        submitOrder(fleet, "router-0", VERONA, true, "one");
        fleet.advance(1_000);
        fleet.kill("router-0");
        fleet.removeFromList("router-0");
        fleet.advance(5_000);
        fleet.routers().forEach(router -> router.store().faults().outage(false));
        fleet.advance(10_000);
        String key = VERONA.storeKey();
        assertEquals(fleet.storeTable().range(key, "").entries().size(), 1);
        fleet.routers().toList().forEach(router -> fleet.kill(router.id().value()));
        fleet.startRouter("fresh", "milano");
        fleet.advance(4_000);
        assertTrue(isVeronaOut(fleet.router("fresh")));
    }

    @Test
    public void oldOrderForUnlistedUpstreamIsRemovedEverywhere() {
        SimulatedControlFleet fleet = settledFleet(new SimulatedControlFleet(59), 6);
        Target gone = new Target(Kind.UPSTREAM, "booking-verona");
        submitOrder(fleet, "router-0", gone, true, "one");
        fleet.advance(4_000);
        fleet.removeFromList("booking-verona");
        fleet.routers().toList().forEach(router -> router.freeze());
        fleet.advance(25 * 3_600_000L);
        fleet.routers().toList().forEach(router -> router.unfreeze());
        fleet.advance(30_000);
        assertTrue(fleet.routers().allMatch(router -> router.core().state().order(gone) == null));
        assertEquals(fleet.storeTable().range(gone.storeKey(), "").entries(), List.of());
    }

    @Test
    public void emptyListDropsNoUpstreamAtOnce() {
        SimulatedControlFleet fleet = settledFleet(new SimulatedControlFleet(61), 6);
        fleet.routers().forEach(router -> router.accept(new ControlInput.InstancesListed(List.of())));
        fleet.advance(200);
        assertTrue(fleet.routers().allMatch(router -> OperatorChecker.uses(router, "booking-verona")));
    }

    @Test
    public void emptyListIsAppliedAfterDelay() {
        SimulatedControlFleet fleet = settledFleet(new SimulatedControlFleet(63), 6);
        SMALL.forEach(domain -> fleet.removeFromList("booking-" + domain));
        fleet.advance(5_000);
        assertTrue(fleet.routers().allMatch(router -> OperatorChecker.uses(router, "booking-verona")));
        fleet.advance(10_000);
        assertTrue(fleet.routers().noneMatch(router -> OperatorChecker.uses(router, "booking-verona")));
    }

    @Test
    public void unresponsivePeerIsExcludedAndReturns() {
        SimulatedControlFleet fleet = settledFleet(new SimulatedControlFleet(67), 6);
        fleet.router("router-1").freeze();
        fleet.advance(20_000);
        SimulatedControlRouter other = fleet.router("router-0");
        assertEquals(other.core().state().livePeers(fleet.time().nowMillis()).count(), 4);
        fleet.router("router-1").unfreeze();
        fleet.advance(70_000);
        assertEquals(other.core().state().livePeers(fleet.time().nowMillis()).count(), 5);
        assertFalse(isVeronaOut(other));
    }
}
