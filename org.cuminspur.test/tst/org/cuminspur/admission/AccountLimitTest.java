package org.cuminspur.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Stream;
import org.cuminspur.config.AccountSpec;
import org.cuminspur.config.Priority;
import org.cuminspur.control.message.PeerMessage;
import org.cuminspur.peer.internal.PeerCodec;
import org.cuminspur.testing.SimulatedControlFleet;
import org.cuminspur.testing.SimulatedControlRouter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks an account's limits over the whole fleet while a surge moves between routers, under faults. */
public class AccountLimitTest {
    private static final String ACCOUNT = "surging";
    private static final double RATE = 120;
    private static final int CONCURRENT = 60;
    private static final long HOLD_MS = 500;
    private static final double MAX_OVERSHOOT = 1.75;
    private static final long PERIOD_MS = 10_000;
    /** Length, names of sender and receiver, MAC, and the headers of TCP and IP. */
    private static final int FRAME_BYTES = 4 + 2 * 12 + 36 + 52;

    private static final FairAdmission.Capacity CAPACITY = new FairAdmission.Capacity(500, 50, 1_000);

    /** Faults that begin while routers hold shares of the limit. */
    private enum Fault {
        NONE(simulation -> {}),
        LOST(simulation -> simulation.fleet().linkFaults().lossProbability(0.3)),
        KILLED(simulation -> {
            String allocator = simulation.allocatingRouterOf(ACCOUNT);
            simulation.fleet().kill(allocator);
            simulation.fleet().time().schedule(4_000, () -> simulation.fleet().removeFromList(allocator));
        }),
        FROZEN(simulation -> {
            SimulatedControlRouter allocator = simulation.fleet().router(simulation.allocatingRouterOf(ACCOUNT));
            allocator.freeze();
            simulation.fleet().time().schedule(8_000, allocator::unfreeze);
        }),
        CUT(simulation -> {
            simulation.fleet().linkFaults().partitioned((from, to) -> half(from.value()) != half(to.value()));
            simulation
                    .fleet()
                    .time()
                    .schedule(8_000, () -> simulation.fleet().linkFaults().partitioned((from, to) -> false));
        });

        private final Consumer<AdmissionSimulation> start;

        Fault(Consumer<AdmissionSimulation> start) {
            this.start = start;
        }

        private static int half(String router) {
            return router.hashCode() & 1;
        }
    }

    /** Returns fleet sizes with every fault, singly and in pairs. */
    @DataProvider
    public Object[][] faults() {
        Stream<Object[]> small = Arrays.stream(Fault.values())
                .flatMap(firstFault -> Arrays.stream(Fault.values())
                        .filter(secondFault -> firstFault.compareTo(secondFault) < 0 || firstFault == Fault.NONE)
                        .map(secondFault -> new Object[] {6, firstFault, secondFault}));
        Stream<Object[]> large =
                Stream.of(new Object[] {360, Fault.NONE, Fault.NONE}, new Object[] {360, Fault.LOST, Fault.KILLED});
        return Stream.concat(small, large).toArray(Object[][]::new);
    }

    @Test(dataProvider = "faults")
    public void overshootOfMovingSurgeIsBounded(int routers, Fault firstFault, Fault secondFault) {
        AdmissionSimulation simulation = simulation(routers, AdmissionSimulation.fairAdmission(CAPACITY));
        surge(simulation, routers, firstFault, secondFault);
        assertEquals(check(simulation, routers), Optional.empty());
    }

    @Test
    public void limitOfEachRouterAloneFailsTheCheck() {
        AdmissionSimulation simulation = simulation(
                6,
                running -> router -> new FairAdmission(
                        CAPACITY,
                        new AccountLimiters(),
                        running.fleet().time().clock(),
                        running.fleet().time()::schedule));
        surge(simulation, 6, Fault.NONE, Fault.NONE);
        assertNotEquals(check(simulation, 6), Optional.empty());
    }

    @Test
    public void accountOnFewRoutersUsesMoreThanTheirEvenShares() {
        AdmissionSimulation simulation = simulation(6, AdmissionSimulation.fairAdmission(CAPACITY));
        simulation.offerLoad(ACCOUNT, 3 * RATE, 100, 40_000, AdmissionSimulation.routersInRange(0, 2));
        simulation.fleet().advance(42_000);
        long started = AdmissionChecks.maxStarted(
                simulation.requests(), simulation.account(ACCOUNT).id(), PERIOD_MS);
        double usedShare = started / (RATE * PERIOD_MS / 1_000);
        assertTrue(usedShare > 0.7, "share of the limit used: " + usedShare);
    }

    @Test
    public void controlBytesStayWithinTheirPartAtTargetSize() {
        AdmissionSimulation simulation = new AdmissionSimulation(9, 360, AdmissionSimulation.fairAdmission(CAPACITY));
        SimulatedControlFleet fleet = simulation.fleet();
        for (int i = 0; i < 40; i++) {
            simulation.withAccount("account-" + i, Priority.NORMAL, 60, 400);
        }
        simulation.publish();
        fleet.setMessageSize(AccountLimitTest::wireBytes);
        for (int i = 0; i < 40; i++) {
            simulation.offerLoad("account-" + i, i == 0 ? 1_000 : 30, 200, 20_000, router -> true);
        }
        fleet.advance(20_000);
        double maxBytes = fleet.routers()
                .mapToDouble(router -> fleet.traffic(router.id()).sentBytes()
                        + fleet.traffic(router.id()).receivedBytes())
                .max()
                .orElseThrow();
        assertTrue(maxBytes / 20 < 1_000, "bytes per second of the busiest router: " + maxBytes / 20);
    }

    private static int wireBytes(PeerMessage message) {
        boolean counted = message instanceof PeerMessage.AccountUsage || message instanceof PeerMessage.AccountShares;
        return counted ? PeerCodec.encode(message).length + FRAME_BYTES : 0;
    }

    private static AdmissionSimulation simulation(
            int routers, Function<AdmissionSimulation, Function<SimulatedControlRouter, Admission>> admission) {
        return new AdmissionSimulation(11, routers, admission)
                .withAccount(ACCOUNT, Priority.NORMAL, RATE, CONCURRENT)
                .publish();
    }

    private static void surge(AdmissionSimulation simulation, int routers, Fault firstFault, Fault secondFault) {
        List<Integer> from = List.of(0, routers / 3, 2 * routers / 3);
        for (int first : from) {
            simulation.offerLoad(
                    ACCOUNT, 10 * RATE, HOLD_MS, 8_000, AdmissionSimulation.routersInRange(first, first + routers / 3));
            simulation.fleet().advance(4_000);
            if (first == routers / 3) {
                firstFault.start.accept(simulation);
                secondFault.start.accept(simulation);
            }
            simulation.fleet().advance(4_000);
        }
        simulation.offerLoad(ACCOUNT, 10 * RATE, HOLD_MS, 8_000, router -> true);
        simulation.fleet().advance(10_000);
    }

    private static Optional<String> check(AdmissionSimulation simulation, int routers) {
        AccountSpec account = simulation.account(ACCOUNT);
        int concurrent = AdmissionChecks.maxConcurrent(simulation.requests(), account.id());
        long started = AdmissionChecks.maxStarted(simulation.requests(), account.id(), PERIOD_MS);
        double seconds = PERIOD_MS / 1_000.0;
        double maxStarted = MAX_OVERSHOOT * RATE * (seconds + 1) + AccountLimiter.MIN_BURST_REQUESTS * routers;
        if (concurrent > MAX_OVERSHOOT * CONCURRENT + routers) {
            return Optional.of("in progress at one time: " + concurrent);
        }
        if (started > maxStarted) {
            return Optional.of("started in " + seconds + " s: " + started);
        }
        return AdmissionChecks.checkAnsweredOnce(
                simulation.requests(), simulation.fleet().time().nowMillis());
    }
}
