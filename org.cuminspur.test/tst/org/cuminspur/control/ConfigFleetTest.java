package org.cuminspur.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.cuminspur.publish.PublishResult;
import org.cuminspur.testing.SimulatedControlFleet;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks that accepted configuration is in force in time and never reverts, under single and paired faults. */
public class ConfigFleetTest {
    private static final List<String> SMALL = List.of("milano", "torino", "verona");
    private static final List<String> LARGE = List.of("a1", "a2", "a3", "b1", "b2", "b3", "c1", "c2");
    private static final long SETTLE_MS = 5_000;

    /** A fault that is active during publications. */
    enum Fault {
        NONE(run -> {}),
        LOSS(run -> run.fleet.linkFaults().lossProbability(0.2)),
        CROSS(run -> run.fleet.linkFaults().delay(1, 400)),
        REPEAT(run -> run.fleet.linkFaults().duplicationProbability(0.5)),
        CUT(run -> run.cut("milano", "a1")),
        FREEZE(run -> run.freeze("router-1", 6_000)),
        HOLDERS_KILLED(FleetRun::killWatchers),
        LOST_REPLIES(run -> run.checker.publisherFaults().replyLossProbability(0.3)),
        SILENT_WATCHES(run ->
                run.fleet.routers().forEach(router -> router.store().faults().silentWatches(true))),
        STALE_LIST(run -> run.fleet.setMaxListLag(8_000)),
        STORE_DOWN_FOR_MOST(FleetRun::storeDownForMost);

        private final Consumer<FleetRun> action;

        Fault(Consumer<FleetRun> action) {
            this.action = action;
        }
    }

    /** One fleet with its checker. */
    private static final class FleetRun {
        private final SimulatedControlFleet fleet;
        private final OperatorChecker checker;

        FleetRun(long seed, int routers) {
            fleet = new SimulatedControlFleet(seed);
            fleet.startRouters(routers, routers > 6 ? LARGE : SMALL);
            checker = new OperatorChecker(fleet);
            fleet.advance(SETTLE_MS);
        }

        void cut(String... domains) {
            List<String> isolated = List.of(domains);
            fleet.linkFaults()
                    .partitioned((from, to) ->
                            isolated.contains(domain(from.value())) != isolated.contains(domain(to.value())));
        }

        /** Excludes from the checks the routers that reach neither the store nor a peer that does. */
        void excludeCutOffRouters(Fault first, Fault second) {
            if (first == Fault.CUT && second == Fault.STORE_DOWN_FOR_MOST) {
                checker.reachable(router -> !domain(router.id().value()).matches("milano|a1"));
            }
        }

        String domain(String router) {
            return fleet.router(router).identity().domain().value();
        }

        void freeze(String name, long millis) {
            fleet.router(name).freeze();
            fleet.time().schedule(millis, () -> fleet.router(name).unfreeze());
        }

        void killWatchers() {
            fleet.routers()
                    .filter(router -> router.store().watchCount() > 0)
                    .filter(router -> domain(router.id().value()).matches("milano|a1|a2"))
                    .toList()
                    .forEach(router -> fleet.kill(router.id().value()));
        }

        void storeDownForMost() {
            fleet.routers()
                    .filter(router -> !domain(router.id().value()).matches("verona|c2"))
                    .forEach(router -> router.store().faults().outage(true));
        }

        void publish(int count, int files, long spacingMillis) {
            for (int i = 0; i < count; i++) {
                String name = "service-" + i % files + ".ini";
                String text = "[service s" + i % files + "]\nkind = plain\n# " + i + "\n";
                String publication = "publication-" + i;
                fleet.time().schedule(i * spacingMillis, () -> checker.publish(publication, name, text));
            }
        }
    }

    @DataProvider
    public Object[][] faults() {
        return pairs(Fault.values());
    }

    /** Returns each pair of faults, including a fault with itself. */
    static <F extends Enum<F>> Object[][] pairs(F[] faults) {
        return Stream.of(faults)
                .flatMap(first -> Stream.of(faults)
                        .filter(second -> first.compareTo(second) <= 0)
                        .map(second -> new Object[] {first, second}))
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "faults")
    public void sixRoutersConvergeAndNeverRevert(Fault first, Fault second) {
        for (long seed = 1; seed <= 5; seed++) {
            FleetRun run = new FleetRun(seed, 6);
            first.action.accept(run);
            second.action.accept(run);
            run.excludeCutOffRouters(first, second);
            run.publish(20, 7, 300);
            run.fleet.advance(30_000);
            assertEquals(run.checker.violations(), List.of(), first + " with " + second + ", seed " + seed);
            assertEquals(run.checker.results().size(), 20);
        }
    }

    @DataProvider(parallel = true)
    public Object[][] faultsOfManyRouters() {
        Stream<Object[]> single = Stream.of(Fault.values()).map(fault -> new Object[] {Fault.NONE, fault});
        Stream<Object[]> pairs = Stream.of(
                new Object[] {Fault.LOSS, Fault.HOLDERS_KILLED},
                new Object[] {Fault.CUT, Fault.STORE_DOWN_FOR_MOST},
                new Object[] {Fault.CROSS, Fault.FREEZE},
                new Object[] {Fault.HOLDERS_KILLED, Fault.STALE_LIST});
        return Stream.concat(single, pairs).toArray(Object[][]::new);
    }

    @Test(dataProvider = "faultsOfManyRouters")
    public void manyRoutersConvergeAndNeverRevert(Fault first, Fault second) {
        FleetRun run = new FleetRun(7, 360);
        first.action.accept(run);
        second.action.accept(run);
        run.excludeCutOffRouters(first, second);
        run.publish(3, 3, 1_500);
        run.fleet.advance(9_000);
        assertEquals(run.checker.violations(), List.of(), first + " with " + second);
        assertEquals(run.checker.results().size(), 3);
    }

    @Test
    public void publicationBurstLosesNoAcceptedChange() {
        FleetRun run = new FleetRun(11, 6);
        run.checker.publisherFaults().replyLossProbability(0.1);
        run.publish(300, 250, 0);
        run.fleet.advance(130_000);
        assertEquals(run.checker.violations(), List.of());
        assertEquals(run.checker.results().size(), 300);
        long conflicts = run.checker.results().values().stream()
                .filter(PublishResult.Conflict.class::isInstance)
                .count();
        long published = run.checker.results().values().stream()
                .filter(PublishResult.Published.class::isInstance)
                .count();
        assertEquals(published + conflicts, 300, run.checker.results().toString());
        assertTrue(published >= 250, "published " + published);
    }

    @Test
    public void routerStartedDuringStoreOutageLoadsConfigFromPeers() {
        FleetRun run = new FleetRun(13, 6);
        run.publish(3, 3, 100);
        run.fleet.advance(5_000);
        run.fleet.routers().forEach(router -> router.store().faults().outage(true));
        run.fleet.startRouter("late", "torino").store().faults().outage(true);
        assertFalse(run.fleet.router("late").core().snapshot().ready());
        run.fleet.advance(4_000);
        assertEquals(run.fleet.router("late").core().snapshot().revision().value(), 3);
        assertTrue(run.fleet.router("late").core().snapshot().ready());
    }

    @Test
    public void loneRouterStartedDuringStoreOutageIsNotReady() {
        SimulatedControlFleet fleet = new SimulatedControlFleet(17);
        fleet.startRouter("alone", "torino").store().faults().outage(true);
        fleet.advance(10_000);
        assertFalse(fleet.router("alone").core().snapshot().ready());
    }
}
