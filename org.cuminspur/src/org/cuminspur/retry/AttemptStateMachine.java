package org.cuminspur.retry;

import org.cuminspur.errors.ErrorKind;
import org.cuminspur.errors.Refusal;
import org.cuminspur.errors.RunState;
import org.cuminspur.time.Clock;

/**
 * Decides what to do with one request after each event of its attempts.
 *
 * <p>Used by one thread at a time. A request that may have run is sent again only if it is idempotent. A refusal says
 * "not run" only if no attempt may have run, whatever the last attempt came to. Every retry is taken from the budget,
 * and none is decided after the deadline. No decision asks to wait.
 */
public final class AttemptStateMachine {
    /** Times that a request is sent or resumed at most. */
    public static final int MAX_ATTEMPTS = 3;

    private final RetryConstraints terms;
    private final RetryPermits budget;
    private final Clock clock;
    private int attempts;
    private int runs;
    private boolean mayHaveRun;
    private boolean relaysRefusal;
    private Refusal last = Refusal.of(ErrorKind.NO_UPSTREAM);

    public AttemptStateMachine(RetryConstraints terms, RetryPermits budget, Clock clock) {
        this.terms = terms;
        this.budget = budget;
        this.clock = clock;
    }

    /** Returns whether to send the request for the first time. */
    public NextStep start() {
        if (expired()) {
            return new NextStep.Refuse(Refusal.of(ErrorKind.DEADLINE_BEFORE_SEND));
        }
        attempts = 1;
        return new NextStep.Send();
    }

    /** Returns whether any attempt may have run. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Returns what to do after an event. */
    public NextStep handle(AttemptEvent event) {
        if (event instanceof AttemptEvent.NoUpstream) {
            return new NextStep.Refuse(last);
        } else if (event instanceof AttemptEvent.TooLateToSend) {
            return refuseLate();
        } else if (event instanceof AttemptEvent.NotConnected) {
            return failed(ErrorKind.UPSTREAM_UNREACHABLE);
        } else if (event instanceof AttemptEvent.BrokenBeforeAnswer) {
            return failed(ErrorKind.UPSTREAM_BROKE);
        } else if (event instanceof AttemptEvent.TimedOutBeforeAnswer) {
            return timedOut();
        } else if (event instanceof AttemptEvent.Refused refused) {
            return refused(refused);
        } else if (event instanceof AttemptEvent.BrokenDuringAnswer cut) {
            return cut(cut);
        } else if (event instanceof AttemptEvent.ServerError) {
            return failedAnswer();
        }
        return answered(event);
    }

    private NextStep answered(AttemptEvent event) {
        mayHaveRun = true;
        if (event instanceof AttemptEvent.AnswerStarted) {
            return new NextStep.Relay();
        } else if (event instanceof AttemptEvent.TimedOutDuringAnswer) {
            return new NextStep.AbortAnswer(Refusal.of(ErrorKind.DEADLINE_AFTER_SEND));
        } else if (event instanceof AttemptEvent.AnswerCompleted && !relaysRefusal) {
            budget.recordSuccess();
        }
        return new NextStep.Finish();
    }

    /** The upstream's own failure goes to the caller unless another upstream may do better. */
    private NextStep failedAnswer() {
        boolean earlierMayHaveRun = mayHaveRun;
        note(Refusal.of(ErrorKind.UPSTREAM_BROKE));
        if (terms.idempotent() && mayRetry()) {
            return new NextStep.Send();
        }
        relaysRefusal = terms.idempotent() || !earlierMayHaveRun;
        return new NextStep.Relay();
    }

    private NextStep timedOut() {
        note(Refusal.of(ErrorKind.DEADLINE_AFTER_SEND));
        return new NextStep.Refuse(last);
    }

    private NextStep failed(ErrorKind kind) {
        note(Refusal.of(kind));
        if (expired()) {
            return refuseLate();
        }
        return mayRetry() ? new NextStep.Send() : new NextStep.Refuse(last);
    }

    private NextStep refuseLate() {
        return new NextStep.Refuse(
                Refusal.of(mayHaveRun ? ErrorKind.DEADLINE_AFTER_SEND : ErrorKind.DEADLINE_BEFORE_SEND));
    }

    private NextStep refused(AttemptEvent.Refused refused) {
        ErrorKind kind = refused.notRun() ? ErrorKind.UPSTREAM_REFUSED : ErrorKind.UPSTREAM_BUSY;
        boolean earlierMayHaveRun = mayHaveRun;
        note(new Refusal(kind, "", refused.retryAfterMillis()));
        if (mayRetry()) {
            return new NextStep.Send();
        }
        // The upstream's own answer speaks for its own attempt only, so it must not hide an earlier one.
        relaysRefusal = !refused.notRun() && !earlierMayHaveRun;
        return relaysRefusal ? new NextStep.Relay() : new NextStep.Refuse(last);
    }

    private NextStep cut(AttemptEvent.BrokenDuringAnswer cut) {
        mayHaveRun = true;
        runs++;
        boolean resume = cut.resumable() && mayRetry();
        return resume ? new NextStep.Resume() : new NextStep.AbortAnswer(Refusal.of(ErrorKind.UPSTREAM_BROKE));
    }

    /** Keeps the refusal to give if this was the last attempt, unless an earlier attempt makes it untrue. */
    private void note(Refusal refusal) {
        boolean notRun = refusal.kind().runState() == RunState.NOT_RUN;
        if (!notRun || !mayHaveRun) {
            last = refusal;
        }
        mayHaveRun |= !notRun;
        runs += notRun ? 0 : 1;
    }

    private boolean mayRetry() {
        boolean allowed =
                (terms.idempotent() || !mayHaveRun) && attempts < MAX_ATTEMPTS && runs < terms.maxRuns() && !expired();
        if (!allowed || !budget.tryAcquire()) {
            return false;
        }
        attempts++;
        return true;
    }

    private boolean expired() {
        return clock.millis() >= terms.deadlineMillis();
    }
}
