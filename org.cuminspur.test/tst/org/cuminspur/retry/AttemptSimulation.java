package org.cuminspur.retry;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.BiFunction;
import org.cuminspur.errors.RunState;
import org.cuminspur.testing.VirtualTime;

/**
 * Runs requests through schedules of attempt events drawn from a seed, and checks the answers to callers against what
 * ran.
 *
 * <p>Used by one thread. Knows what upstreams ran, which the code under test does not.
 */
final class AttemptSimulation {
    /** Creates the code under test for one request. */
    interface DeciderFactory extends BiFunction<RetryConstraints, RetryBudget, DeciderFactory.Decider> {
        /** Decides after each event; null stands for the start. */
        interface Decider {
            NextStep nextStep(AttemptEvent event);
        }
    }

    private static final int ANSWER_TOKENS = 8;
    private static final int DEADLINE_MS = 1_000;

    private final Random random;
    private final VirtualTime time = new VirtualTime(0);
    private final RetryBudget budget = new RetryBudget();
    private final List<String> violations = new ArrayList<>();
    private int retries;
    private int successes;
    private int executions;
    private int deliveredTokens;
    private boolean relayingRefusal;

    AttemptSimulation(long seed) {
        random = new Random(seed);
    }

    VirtualTime time() {
        return time;
    }

    /** Runs requests one after the other and returns the violations. */
    List<String> run(int requests, DeciderFactory factory) {
        for (int i = 0; i < requests; i++) {
            RetryConstraints constraints = new RetryConstraints(random.nextBoolean(), time.nowMillis() + DEADLINE_MS);
            runRequest(constraints, factory.apply(constraints, budget));
            double allowed = RetryBudget.MAX_RETRIES_SAVED + RetryBudget.RETRIES_PER_SUCCESS * successes;
            expect(retries <= allowed + 1e-9, "retries " + retries + " of " + allowed);
        }
        return violations;
    }

    private void runRequest(RetryConstraints constraints, DeciderFactory.Decider decider) {
        executions = 0;
        deliveredTokens = 0;
        relayingRefusal = false;
        NextStep step = decider.nextStep(null);
        int sent = 0;
        while (step instanceof NextStep.Send || step instanceof NextStep.Relay || step instanceof NextStep.Resume) {
            AttemptEvent event;
            if (step instanceof NextStep.Relay) {
                event = drawRelayEvent();
            } else {
                retries += sent++ > 0 ? 1 : 0;
                expect(time.nowMillis() < constraints.deadlineMillis(), "sent after the deadline");
                event = step instanceof NextStep.Send ? drawSendEvent(constraints) : new AttemptEvent.AnswerStarted();
            }
            long before = time.nowMillis();
            step = decider.nextStep(event);
            expect(time.nowMillis() == before, "held back");
            check(constraints, event, step);
        }
    }

    /** Draws how an attempt begins; what ran is known here only. */
    private AttemptEvent drawSendEvent(RetryConstraints constraints) {
        time.advance(random.nextInt(200));
        switch (random.nextInt(8)) {
            case 0:
                return new AttemptEvent.NotConnected();
            case 1:
                executions += random.nextInt(2);
                return new AttemptEvent.BrokenBeforeAnswer();
            case 2:
                executions += random.nextInt(2);
                time.advance(Math.max(0, constraints.deadlineMillis() - time.nowMillis()));
                return new AttemptEvent.TimedOutBeforeAnswer();
            case 3:
                executions += random.nextInt(2);
                relayingRefusal = true;
                return new AttemptEvent.Refused(false, 2_000);
            case 4:
                return new AttemptEvent.Refused(true, 2_000);
            case 5:
                return new AttemptEvent.NoUpstream();
            default:
                executions++;
                relayingRefusal = false;
                return new AttemptEvent.AnswerStarted();
        }
    }

    private AttemptEvent drawRelayEvent() {
        time.advance(random.nextInt(200));
        int end = deliveredTokens + random.nextInt(ANSWER_TOKENS - deliveredTokens + 1);
        switch (random.nextInt(6)) {
            case 0:
                deliveredTokens = end;
                return new AttemptEvent.BrokenDuringAnswer(random.nextBoolean());
            case 1:
                deliveredTokens = end;
                return new AttemptEvent.TimedOutDuringAnswer();
            case 2:
                return new AttemptEvent.CallerGone();
            case 3:
                return deliveredTokens == 0
                        ? new AttemptEvent.BrokenBeforeAnswer()
                        : new AttemptEvent.BrokenDuringAnswer(false);
            default:
                deliveredTokens = ANSWER_TOKENS;
                successes += relayingRefusal ? 0 : 1;
                return new AttemptEvent.AnswerCompleted();
        }
    }

    private void check(RetryConstraints constraints, AttemptEvent event, NextStep step) {
        if (step instanceof NextStep.Refuse refuse) {
            boolean saysNotRun = refuse.refusal().kind().runState() == RunState.NOT_RUN;
            expect(
                    !saysNotRun || executions == 0,
                    "untrue refusal: " + refuse.refusal().kind());
            expect(deliveredTokens == 0, "refused after a part of the answer");
        } else if (step instanceof NextStep.Finish) {
            expect(
                    deliveredTokens == ANSWER_TOKENS || event instanceof AttemptEvent.CallerGone,
                    "short answer not marked as incomplete");
        } else if (step instanceof NextStep.Send) {
            expect(constraints.idempotent() || executions == 0, "sent again after it ran");
            expect(deliveredTokens == 0, "sent again after a part of the answer");
        } else if (step instanceof NextStep.Resume) {
            expect(
                    event instanceof AttemptEvent.BrokenDuringAnswer broken && broken.resumable(),
                    "resumed where the answer is not resumable");
            expect(constraints.idempotent(), "resumed a request that must not run twice");
        }
    }

    private void expect(boolean holds, String violation) {
        if (!holds) {
            violations.add(violation);
        }
    }
}
