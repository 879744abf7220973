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
import org.cuminspur.testing.MemoryFleet;
import org.cuminspur.testing.MemoryRouter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks accounts' limits over the whole fleet during surges that move between routers, under faults. */
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

    /** The faults, each begun while a share is held. */
    private enum Fault {
        NONE(bench -> {}),
        LOST(bench -> bench.fleet().links().lostShare(0.3)),
        KILLED(bench -> {
            String summer = bench.summerOf(ACCOUNT);
            bench.fleet().kill(summer);
            bench.fleet().time().after(4_000, () -> bench.fleet().unlist(summer));
        }),
        FROZEN(bench -> {
            MemoryRouter summer = bench.fleet().router(bench.summerOf(ACCOUNT));
            summer.freeze();
            bench.fleet().time().after(8_000, summer::wake);
        }),
        CUT(bench -> {
            bench.fleet().links().cut((from, to) -> half(from.value()) != half(to.value()));
            bench.fleet().time().after(8_000, () -> bench.fleet().links().cut((from, to) -> false));
        });

        private final Consumer<AccountBench> start;

        Fault(Consumer<AccountBench> start) {
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
                .flatMap(one -> Arrays.stream(Fault.values())
                        .filter(other -> one.compareTo(other) < 0 || one == Fault.NONE)
                        .map(other -> new Object[] {6, one, other}));
        Stream<Object[]> large =
                Stream.of(new Object[] {360, Fault.NONE, Fault.NONE}, new Object[] {360, Fault.LOST, Fault.KILLED});
        return Stream.concat(small, large).toArray(Object[][]::new);
    }

    @Test(dataProvider = "faults")
    public void overshootOfMovingSurgeIsBounded(int routers, Fault one, Fault other) {
        AccountBench bench = bench(routers, AccountBench.fair(CAPACITY));
        surge(bench, routers, one, other);
        assertEquals(check(bench, routers), Optional.empty());
    }

    @Test
    public void limitOfEachRouterAloneFailsTheCheck() {
        AccountBench bench = bench(
                6,
                made -> router -> new FairAdmission(
                        CAPACITY,
                        new AccountLimiters(),
                        made.fleet().time().clock(),
                        made.fleet().time()::after));
        surge(bench, 6, Fault.NONE, Fault.NONE);
        assertNotEquals(check(bench, 6), Optional.empty());
    }

    @Test
    public void accountOnFewRoutersUsesMoreThanTheirEvenShares() {
        AccountBench bench = bench(6, AccountBench.fair(CAPACITY));
        bench.load(ACCOUNT, 3 * RATE, 100, 40_000, AccountBench.numbered(0, 2));
        bench.fleet().run(42_000);
        long started = AccountChecks.mostStarted(
                bench.requests(), bench.account(ACCOUNT).id(), PERIOD_MS);
        double part = started / (RATE * PERIOD_MS / 1_000);
        assertTrue(part > 0.7, "part of the limit used: " + part);
    }

    @Test
    public void controlBytesStayWithinTheirPartAtTargetSize() {
        AccountBench bench = new AccountBench(9, 360, AccountBench.fair(CAPACITY));
        MemoryFleet fleet = bench.fleet();
        for (int i = 0; i < 40; i++) {
            bench.with("account-" + i, Priority.NORMAL, 60, 400);
        }
        bench.publish();
        fleet.size(AccountLimitTest::wireBytes);
        for (int i = 0; i < 40; i++) {
            bench.load("account-" + i, i == 0 ? 1_000 : 30, 200, 20_000, router -> true);
        }
        fleet.run(20_000);
        double most = fleet.routers()
                .mapToDouble(router -> fleet.traffic(router.id()).sentBytes()
                        + fleet.traffic(router.id()).receivedBytes())
                .max()
                .orElseThrow();
        assertTrue(most / 20 < 1_000, "bytes a second of the busiest router: " + most / 20);
    }

    private static int wireBytes(PeerMessage message) {
        boolean counted = message instanceof PeerMessage.AccountUsage || message instanceof PeerMessage.AccountShares;
        return counted ? PeerCodec.encode(message).length + FRAME_BYTES : 0;
    }

    private static AccountBench bench(int routers, Function<AccountBench, Function<MemoryRouter, Admission>> way) {
        return new AccountBench(11, routers, way)
                .with(ACCOUNT, Priority.NORMAL, RATE, CONCURRENT)
                .publish();
    }

    private static void surge(AccountBench bench, int routers, Fault one, Fault other) {
        List<Integer> from = List.of(0, routers / 3, 2 * routers / 3);
        for (int first : from) {
            bench.load(ACCOUNT, 10 * RATE, HOLD_MS, 8_000, AccountBench.numbered(first, first + routers / 3));
            bench.fleet().run(4_000);
            if (first == routers / 3) {
                one.start.accept(bench);
                other.start.accept(bench);
            }
            bench.fleet().run(4_000);
        }
        bench.load(ACCOUNT, 10 * RATE, HOLD_MS, 8_000, router -> true);
        bench.fleet().run(10_000);
    }

    private static Optional<String> check(AccountBench bench, int routers) {
        AccountSpec account = bench.account(ACCOUNT);
        int concurrent = AccountChecks.mostConcurrent(bench.requests(), account.id());
        long started = AccountChecks.mostStarted(bench.requests(), account.id(), PERIOD_MS);
        double seconds = PERIOD_MS / 1_000.0;
        double mostStarted = MAX_OVERSHOOT * RATE * (seconds + 1) + AccountLimiter.MIN_BURST_REQUESTS * routers;
        if (concurrent > MAX_OVERSHOOT * CONCURRENT + routers) {
            return Optional.of("in progress at one time: " + concurrent);
        }
        if (started > mostStarted) {
            return Optional.of("started in " + seconds + " s: " + started);
        }
        return AccountChecks.answered(bench.requests(), bench.fleet().time().now());
    }
}
