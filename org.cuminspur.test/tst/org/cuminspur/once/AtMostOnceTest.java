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
import org.cuminspur.testing.once.SimulatedRouter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Runs actions under every fault and every pair of faults, with fixed seeds. */
public class AtMostOnceTest {
    private static final int SEEDS_PER_FAULT = 200;
    private static final int SEEDS_PER_PAIR = 60;
    private static final int NAIVE_SEEDS = 100;
    private static final int EXPIRY_SEEDS = 300;
    private static final int MAX_SHOWN = 10;
    private static final String RAN_TWICE = " ran 2 times";
    private static final String WRONGLY_NOT_RUN = "ran, was reported as not run";
    private static final String STUCK_KEY = "its key stays blocked";

    @DataProvider
    public Iterator<Object[]> faults() {
        return Arrays.stream(InjectedFault.values())
                .map(fault -> new Object[] {fault})
                .iterator();
    }

    @DataProvider
    public Iterator<Object[]> pairs() {
        InjectedFault[] all = InjectedFault.values();
        return IntStream.range(1, all.length)
                .boxed()
                .flatMap(i -> IntStream.range(i + 1, all.length).mapToObj(j -> new Object[] {all[i], all[j]}))
                .iterator();
    }

    @DataProvider
    public Object[][] naiveLedgers() {
        return new Object[][] {
            {"record after answer", InjectedFault.NONE, RAN_TWICE, NaiveLedgers.recordAfterAnswer()},
            {"put without condition", InjectedFault.NONE, RAN_TWICE, NaiveLedgers.putWithoutCondition()},
            {"lost reply is failure", InjectedFault.STORE_REPLY_LOST, RAN_TWICE, NaiveLedgers.lostReplyIsFailure()},
            {"lost reply is success", InjectedFault.STORE_REQUEST_LOST, RAN_TWICE, NaiveLedgers.lostReplyIsSuccess()},
            {"lease only", InjectedFault.FREEZE, RAN_TWICE, NaiveLedgers.leaseOnly()},
            {"unknown is not run", InjectedFault.UPSTREAM_ANSWER_LOST, RAN_TWICE, NaiveLedgers.unknownIsNotRun()},
            {"run after refusal", InjectedFault.STORE_REPLY_LOST, WRONGLY_NOT_RUN, NaiveLedgers.runAfterRefusal()},
            {"lost reply is ignored", InjectedFault.STORE_REPLY_LOST, STUCK_KEY, NaiveLedgers.lostReplyIsIgnored()}
        };
    }

    @Test(dataProvider = "faults")
    public void runsAtMostOnceUnderOneFault(InjectedFault fault) {
        assertNoViolations(violations(SEEDS_PER_FAULT, List.of(fault), FaultScenario::realLedger));
    }

    @Test(dataProvider = "pairs")
    public void runsAtMostOnceUnderTwoFaults(InjectedFault one, InjectedFault other) {
        assertNoViolations(violations(SEEDS_PER_PAIR, List.of(one, other), FaultScenario::realLedger));
    }

    @Test(dataProvider = "naiveLedgers")
    public void naiveLedgerViolatesARule(
            String name, InjectedFault fault, String violation, SimulatedRouter.LedgerFactory ledgers) {
        assertTrue(
                violations(NAIVE_SEEDS, List.of(fault), ledgers).anyMatch(text -> text.contains(violation)),
                name + ": expected violation not found: " + violation);
    }

    @Test
    public void expiredKeysNeverRunAgainUnderClockChangesAndDelayedWrites() {
        assertNoViolations(violationsPastWindow(FaultScenario::shortWindowLedger));
    }

    @Test
    public void expiryByClockAloneRunsTwice() {
        SimulatedRouter.LedgerFactory naive = NaiveLedgers.expireByClock(FaultScenario.SHORT_WINDOW_MS);
        assertTrue(violationsPastWindow(naive).anyMatch(text -> text.contains(RAN_TWICE)));
    }

    private static void assertNoViolations(Stream<String> violations) {
        assertEquals(violations.limit(MAX_SHOWN).collect(Collectors.joining("\n")), "");
    }

    private static Stream<String> violationsPastWindow(SimulatedRouter.LedgerFactory ledgers) {
        return LongStream.range(0, EXPIRY_SEEDS)
                .boxed()
                .flatMap(seed -> FaultScenario.runPastWindow(seed, ledgers).stream());
    }

    private static Stream<String> violations(
            int seeds, List<InjectedFault> faults, SimulatedRouter.LedgerFactory ledgers) {
        return LongStream.range(0, seeds).boxed().flatMap(seed -> FaultScenario.run(seed, faults, ledgers).stream());
    }
}
