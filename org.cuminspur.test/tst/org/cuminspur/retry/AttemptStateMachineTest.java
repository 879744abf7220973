package org.cuminspur.retry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.function.UnaryOperator;
import java.util.stream.LongStream;
import org.cuminspur.errors.ErrorKind;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks the decisions after failed attempts, and that the simulation detects faulty ones. */
public class AttemptStateMachineTest {
    private static final int SCHEDULES = 200;
    private static final int REQUESTS = 100;

    /** Creates the code under test for a simulation. */
    private interface Variant {
        AttemptSimulation.DeciderFactory create(AttemptSimulation simulation);
    }

    @Test
    public void callersAreToldTheTruthWithinTheBudget() {
        assertEquals(violations(AttemptStateMachineTest::stateMachine), List.of());
    }

    @Test(dataProvider = "faultyDeciders")
    public void faultyDecisionsAreDetected(String violation, Variant faulty) {
        List<String> found = violations(faulty);
        assertTrue(found.stream().anyMatch(text -> text.startsWith(violation)), found.toString());
    }

    @DataProvider
    private static Object[][] faultyDeciders() {
        Variant withoutHistory = simulation -> (constraints, budget) -> withoutHistory(constraints, budget, simulation);
        Variant ignoringIdempotency = simulation -> (constraints, budget) ->
                stateMachine(simulation).apply(new RetryConstraints(true, constraints.deadlineMillis()), budget);
        Variant withoutSharedBudget =
                simulation -> (constraints, budget) -> stateMachine(simulation).apply(constraints, new RetryBudget());
        return new Object[][] {
            {"untrue refusal", withoutHistory},
            {
                "untrue refusal",
                changing(event -> event instanceof AttemptEvent.Refused ? new AttemptEvent.Refused(true, 0) : event)
            },
            {"sent again after it ran", ignoringIdempotency},
            {"retries", withoutSharedBudget},
            {
                "short answer not marked",
                changing(event ->
                        event instanceof AttemptEvent.BrokenDuringAnswer ? new AttemptEvent.AnswerCompleted() : event)
            },
            {
                "resumed where the answer",
                changing(event -> event instanceof AttemptEvent.BrokenDuringAnswer
                        ? new AttemptEvent.BrokenDuringAnswer(true)
                        : event)
            },
        };
    }

    @Test
    public void runsGrantedToAnInstanceThatIsLostCount() {
        AttemptStateMachine machine =
                new AttemptStateMachine(new RetryConstraints(true, 10, 3), new RetryBudget(), () -> 0);
        machine.start();
        assertEquals(machine.grantableRuns(), 2);
        assertEquals(machine.handle(new AttemptEvent.PeerBroken(2)), new NextStep.Send());
        assertEquals(machine.grantableRuns(), 1);
        NextStep last = machine.handle(new AttemptEvent.PeerBroken(1));
        assertEquals(((NextStep.Refuse) last).refusal().kind(), ErrorKind.UPSTREAM_BROKE);
    }

    @Test
    public void requestThatMayHaveRunAtAnInstanceThatIsLostIsNotSentAgainUnlessIdempotent() {
        AttemptStateMachine machine =
                new AttemptStateMachine(new RetryConstraints(false, 10, 3), new RetryBudget(), () -> 0);
        machine.start();
        NextStep last = machine.handle(new AttemptEvent.PeerBroken(machine.grantableRuns()));
        assertEquals(((NextStep.Refuse) last).refusal().kind(), ErrorKind.UPSTREAM_BROKE);
    }

    @Test
    public void refusalAfterAnUnknownAttemptStaysUnknown() {
        AttemptStateMachine machine =
                new AttemptStateMachine(new RetryConstraints(true, 10), new RetryBudget(), () -> 0);
        machine.start();
        assertEquals(machine.handle(new AttemptEvent.BrokenBeforeAnswer()), new NextStep.Send());
        NextStep last = machine.handle(new AttemptEvent.NoUpstream());
        assertEquals(((NextStep.Refuse) last).refusal().kind(), ErrorKind.UPSTREAM_BROKE);
    }

    private static AttemptSimulation.DeciderFactory stateMachine(AttemptSimulation simulation) {
        return (constraints, budget) -> {
            AttemptStateMachine machine = new AttemptStateMachine(
                    constraints, budget, simulation.time().clock());
            return event -> event == null ? machine.start() : machine.handle(event);
        };
    }

    /** Decides on each attempt as if it were the only one. */
    private static AttemptSimulation.DeciderFactory.Decider withoutHistory(
            RetryConstraints constraints, RetryBudget budget, AttemptSimulation simulation) {
        return event -> {
            AttemptStateMachine machine = new AttemptStateMachine(
                    constraints, budget, simulation.time().clock());
            NextStep first = machine.start();
            return event == null ? first : machine.handle(event);
        };
    }

    private static Variant changing(UnaryOperator<AttemptEvent> change) {
        return simulation -> (constraints, budget) -> {
            AttemptSimulation.DeciderFactory.Decider decider =
                    stateMachine(simulation).apply(constraints, budget);
            return event -> decider.nextStep(event == null ? null : change.apply(event));
        };
    }

    private static List<String> violations(Variant variant) {
        return LongStream.range(0, SCHEDULES)
                .mapToObj(AttemptSimulation::new)
                .flatMap(simulation -> simulation.run(REQUESTS, variant.create(simulation)).stream())
                .distinct()
                .toList();
    }
}
