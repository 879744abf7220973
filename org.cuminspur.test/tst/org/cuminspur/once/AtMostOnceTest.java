package org.cuminspur.once;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.Iterator;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.cuminspur.testing.once.OnceRouter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Runs actions under every fault and every pair of faults; seeds are fixed. */
public class AtMostOnceTest {
    private static final int SEEDS_PER_FAULT = 200;
    private static final int SEEDS_PER_PAIR = 60;
    private static final int NAIVE_SEEDS = 100;
    private static final int EXPIRY_SEEDS = 300;
    private static final int SHOWN = 10;
    private static final String TWICE = " ran 2 times";
    private static final String UNTRUE = "ran, was called not run";
    private static final String STUCK = "its key is stuck";

    @DataProvider
    public Iterator<Object[]> faults() {
        return Arrays.stream(OnceFault.values())
                .map(fault -> new Object[] {fault})
                .iterator();
    }

    @DataProvider
    public Iterator<Object[]> pairs() {
        OnceFault[] all = OnceFault.values();
        return IntStream.range(1, all.length)
                .boxed()
                .flatMap(i -> IntStream.range(i + 1, all.length).mapToObj(j -> new Object[] {all[i], all[j]}))
                .iterator();
    }

    @DataProvider
    public Object[][] naive() {
        return new Object[][] {
            {"record after answer", OnceFault.NONE, TWICE, NaiveLedgers.recordAfterAnswer()},
            {"put without condition", OnceFault.NONE, TWICE, NaiveLedgers.putWithoutCondition()},
            {"lost reply is failure", OnceFault.STORE_REPLY_LOST, TWICE, NaiveLedgers.lostReplyIsFailure()},
            {"lost reply is success", OnceFault.STORE_REQUEST_LOST, TWICE, NaiveLedgers.lostReplyIsSuccess()},
            {"lease guards", OnceFault.FREEZE, TWICE, NaiveLedgers.leaseGuards()},
            {"unknown is not sent", OnceFault.UPSTREAM_ANSWER_LOST, TWICE, NaiveLedgers.unknownIsNotSent()},
            {"run after refusal", OnceFault.STORE_REPLY_LOST, UNTRUE, NaiveLedgers.runAfterRefusal()},
            {"lost reply is left", OnceFault.STORE_REPLY_LOST, STUCK, NaiveLedgers.lostReplyIsLeft()}
        };
    }

    @Test(dataProvider = "faults")
    public void oneFault(OnceFault fault) {
        assertNone(violations(SEEDS_PER_FAULT, List.of(fault), OnceSchedule::real));
    }

    @Test(dataProvider = "pairs")
    public void twoFaults(OnceFault one, OnceFault other) {
        assertNone(violations(SEEDS_PER_PAIR, List.of(one, other), OnceSchedule::real));
    }

    @Test(dataProvider = "naive")
    public void naiveWayIsSeenToFail(String way, OnceFault fault, String violation, OnceRouter.Ledgers ledgers) {
        assertTrue(
                violations(NAIVE_SEEDS, List.of(fault), ledgers).anyMatch(text -> text.contains(violation)),
                way + " was not seen to fail: " + violation);
    }

    @Test
    public void movingClocksAndLateWritesRevivePastKeysNever() {
        assertNone(expiring(OnceSchedule::expiring));
    }

    @Test
    public void expiryByClockIsSeenToRunTwice() {
        OnceRouter.Ledgers naive = NaiveLedgers.expireByClock(OnceSchedule.SHORT_WINDOW_MS);
        assertTrue(expiring(naive).anyMatch(text -> text.contains(TWICE)));
    }

    private static void assertNone(Stream<String> violations) {
        assertEquals(violations.limit(SHOWN).collect(Collectors.joining("\n")), "");
    }

    private static Stream<String> expiring(OnceRouter.Ledgers ledgers) {
        return LongStream.range(0, EXPIRY_SEEDS)
                .boxed()
                .flatMap(seed -> OnceSchedule.runPastWindow(seed, ledgers).stream());
    }

    private static Stream<String> violations(int seeds, List<OnceFault> faults, OnceRouter.Ledgers ledgers) {
        return LongStream.range(0, seeds).boxed().flatMap(seed -> OnceSchedule.run(seed, faults, ledgers).stream());
    }
}
