package org.cuminspur.retry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.function.UnaryOperator;
import java.util.stream.LongStream;
import org.cuminspur.errors.ErrorKind;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks the decisions after failed attempts, and that the checker reports naive ones. */
public class AttemptStateMachineTest {
    private static final int SCHEDULES = 200;
    private static final int REQUESTS = 100;

    /** Makes the code under test, given the run it takes part in. */
    private interface Variant {
        AttemptSimulation.DeciderFactory in(AttemptSimulation run);
    }

    @Test
    public void callersAreToldTheTruthWithinTheBudget() {
        assertEquals(violations(AttemptStateMachineTest::real), List.of());
    }

    @Test(dataProvider = "naive")
    public void naiveDecisionsAreReported(String violation, Variant naive) {
        List<String> found = violations(naive);
        assertTrue(found.stream().anyMatch(text -> text.startsWith(violation)), found.toString());
    }

    @DataProvider
    private static Object[][] naive() {
        Variant forgetful = run -> (terms, budget) -> forgetful(terms, budget, run);
        Variant careless =
                run -> (terms, budget) -> real(run).apply(new RetryConstraints(true, terms.deadlineMillis()), budget);
        Variant unbounded = run -> (terms, budget) -> real(run).apply(terms, new RetryBudget());
        return new Object[][] {
            {"untrue", forgetful},
            {
                "untrue",
                changing(event -> event instanceof AttemptEvent.Refused ? new AttemptEvent.Refused(true, 0) : event)
            },
            {"sent again after it ran", careless},
            {"retries", unbounded},
            {
                "short answer",
                changing(event ->
                        event instanceof AttemptEvent.BrokenDuringAnswer ? new AttemptEvent.AnswerCompleted() : event)
            },
            {
                "resumed where",
                changing(event -> event instanceof AttemptEvent.BrokenDuringAnswer
                        ? new AttemptEvent.BrokenDuringAnswer(true)
                        : event)
            },
        };
    }

    @Test
    public void refusalAfterAnUnknownAttemptStaysUnknown() {
        AttemptStateMachine attempts =
                new AttemptStateMachine(new RetryConstraints(true, 10), new RetryBudget(), () -> 0);
        attempts.start();
        assertEquals(attempts.handle(new AttemptEvent.BrokenBeforeAnswer()), new NextStep.Send());
        NextStep last = attempts.handle(new AttemptEvent.NoUpstream());
        assertEquals(((NextStep.Refuse) last).refusal().kind(), ErrorKind.UPSTREAM_BROKE);
    }

    private static AttemptSimulation.DeciderFactory real(AttemptSimulation run) {
        return (terms, budget) -> {
            AttemptStateMachine attempts =
                    new AttemptStateMachine(terms, budget, run.time().clock());
            return event -> event == null ? attempts.start() : attempts.handle(event);
        };
    }

    /** Judges each attempt as if it were the only one. */
    private static AttemptSimulation.DeciderFactory.Decider forgetful(
            RetryConstraints terms, RetryBudget budget, AttemptSimulation run) {
        return event -> {
            AttemptStateMachine fresh =
                    new AttemptStateMachine(terms, budget, run.time().clock());
            NextStep first = fresh.start();
            return event == null ? first : fresh.handle(event);
        };
    }

    private static Variant changing(UnaryOperator<AttemptEvent> change) {
        return run -> (terms, budget) -> {
            AttemptSimulation.DeciderFactory.Decider decisions = real(run).apply(terms, budget);
            return event -> decisions.nextStep(event == null ? null : change.apply(event));
        };
    }

    private static List<String> violations(Variant variant) {
        return LongStream.range(0, SCHEDULES)
                .mapToObj(AttemptSimulation::new)
                .flatMap(run -> run.run(REQUESTS, variant.in(run)).stream())
                .distinct()
                .toList();
    }
}
