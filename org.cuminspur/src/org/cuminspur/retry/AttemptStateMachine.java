package org.cuminspur.retry;

import org.cuminspur.errors.ErrorKind;
import org.cuminspur.errors.Refusal;
import org.cuminspur.errors.RunState;
import org.cuminspur.time.Clock;

/**
 * Decides what to do with one request after each event of its attempts.
 *
 * <p>Used by one thread at a time. A request that may have run is sent again only if it is idempotent. A refusal says
 * "not run" only if no attempt may have run, however the last one ended. Every retry is taken from the budget,
 * and none is decided after the deadline. No decision asks to wait.
 */
public final class AttemptStateMachine {
    /** The most times that a request is sent or resumed. */
    public static final int MAX_ATTEMPTS = 3;

    private final RetryConstraints constraints;
    private final RetryPermits budget;
    private final Clock clock;
    private int attempts;
    private int possibleRuns;
    private boolean mayHaveRun;
    private boolean relayingFailure;
    private Refusal lastRefusal = Refusal.of(ErrorKind.NO_UPSTREAM);

    public AttemptStateMachine(RetryConstraints constraints, RetryPermits budget, Clock clock) {
        this.constraints = constraints;
        this.budget = budget;
        this.clock = clock;
    }

    /** Returns the first step: to send the request, or to refuse it because its deadline has passed. */
    public NextStep start() {
        if (deadlinePassed()) {
            return new NextStep.Refuse(Refusal.of(ErrorKind.DEADLINE_BEFORE_SEND));
        }
        attempts = 1;
        return new NextStep.Send();
    }

    /** Returns whether any attempt may have run. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Returns how many upstreams another instance may let run the request; one is kept for a repeat from here. */
    public int grantableRuns() {
        return Math.max(1, constraints.maxRuns() - possibleRuns - 1);
    }

    /** Returns what to do after an event. */
    public NextStep handle(AttemptEvent event) {
        if (event instanceof AttemptEvent.NoUpstream) {
            return new NextStep.Refuse(lastRefusal);
        } else if (event instanceof AttemptEvent.TooLateToSend) {
            return refuseForDeadline();
        } else if (event instanceof AttemptEvent.NotConnected) {
            return connectionFailed(ErrorKind.UPSTREAM_UNREACHABLE);
        } else if (event instanceof AttemptEvent.BrokenBeforeAnswer) {
            return connectionFailed(ErrorKind.UPSTREAM_BROKE);
        } else if (event instanceof AttemptEvent.PeerBroken broken) {
            possibleRuns += broken.runs() - 1;
            return connectionFailed(ErrorKind.UPSTREAM_BROKE);
        } else if (event instanceof AttemptEvent.TimedOutBeforeAnswer) {
            return timedOutBeforeAnswer();
        } else if (event instanceof AttemptEvent.Refused refused) {
            return refusedByUpstream(refused);
        } else if (event instanceof AttemptEvent.BrokenDuringAnswer broken) {
            return brokenDuringAnswer(broken);
        } else if (event instanceof AttemptEvent.ServerError) {
            return serverError();
        } else if (event instanceof AttemptEvent.CrashSuspected suspected) {
            return crashSuspected(suspected);
        } else if (event instanceof AttemptEvent.InstanceStops stops) {
            return instanceStops(stops);
        } else if (event instanceof AttemptEvent.HeldBack heldBack) {
            recordFailure(heldBack.refusal());
            return new NextStep.Refuse(lastRefusal);
        }
        return answerEvent(event);
    }

    /**
     * Decides whether an attempt without an answer is given up, so that the request goes elsewhere; takes a retry if so.
     *
     * <p>If not, the attempt goes on and nothing has changed.
     */
    public boolean tryMoveOn() {
        boolean allowed = constraints.idempotent()
                && attempts < MAX_ATTEMPTS
                && possibleRuns + 1 < constraints.maxRuns()
                && !deadlinePassed()
                && budget.tryAcquire();
        if (allowed) {
            recordFailure(Refusal.of(ErrorKind.UPSTREAM_BROKE));
            attempts++;
        }
        return allowed;
    }

    private NextStep answerEvent(AttemptEvent event) {
        mayHaveRun = true;
        if (event instanceof AttemptEvent.AnswerStarted) {
            return new NextStep.Relay();
        } else if (event instanceof AttemptEvent.TimedOutDuringAnswer) {
            return new NextStep.AbortAnswer(Refusal.of(ErrorKind.DEADLINE_AFTER_SEND));
        } else if (event instanceof AttemptEvent.AnswerCompleted && !relayingFailure) {
            budget.recordSuccess();
        }
        return new NextStep.Finish();
    }

    /** Relays the upstream's error answer unless the request may be sent to another upstream. */
    private NextStep serverError() {
        boolean earlierMayHaveRun = mayHaveRun;
        recordFailure(Refusal.of(ErrorKind.UPSTREAM_BROKE));
        if (constraints.idempotent() && acquireRetry()) {
            return new NextStep.Send();
        }
        relayingFailure = constraints.idempotent() || !earlierMayHaveRun;
        return new NextStep.Relay();
    }

    private NextStep timedOutBeforeAnswer() {
        recordFailure(Refusal.of(ErrorKind.DEADLINE_AFTER_SEND));
        return new NextStep.Refuse(lastRefusal);
    }

    private NextStep connectionFailed(ErrorKind kind) {
        recordFailure(Refusal.of(kind));
        if (deadlinePassed()) {
            return refuseForDeadline();
        }
        return acquireRetry() ? new NextStep.Send() : new NextStep.Refuse(lastRefusal);
    }

    private NextStep refuseForDeadline() {
        return new NextStep.Refuse(
                Refusal.of(mayHaveRun ? ErrorKind.DEADLINE_AFTER_SEND : ErrorKind.DEADLINE_BEFORE_SEND));
    }

    private NextStep refusedByUpstream(AttemptEvent.Refused refused) {
        ErrorKind kind = refused.notRun() ? ErrorKind.UPSTREAM_REFUSED : ErrorKind.UPSTREAM_BUSY;
        boolean earlierMayHaveRun = mayHaveRun;
        recordFailure(new Refusal(kind, "", refused.retryAfterMillis()));
        if (acquireRetry()) {
            return new NextStep.Send();
        }
        // The upstream's answer covers its own attempt only, so it must not hide that an earlier one may have run.
        relayingFailure = !refused.notRun() && !earlierMayHaveRun;
        return relayingFailure ? new NextStep.Relay() : new NextStep.Refuse(lastRefusal);
    }

    private NextStep brokenDuringAnswer(AttemptEvent.BrokenDuringAnswer event) {
        mayHaveRun = true;
        possibleRuns++;
        boolean resume = event.resumable() && acquireRetry();
        return resume ? new NextStep.Resume() : new NextStep.AbortAnswer(Refusal.of(ErrorKind.UPSTREAM_BROKE));
    }

    private NextStep instanceStops(AttemptEvent.InstanceStops event) {
        recordFailure(
                Refusal.of(event.sent() || event.answerBegan() ? ErrorKind.STOPPED_AFTER_SEND : ErrorKind.STOPPING));
        return event.answerBegan() ? new NextStep.AbortAnswer(lastRefusal) : new NextStep.Refuse(lastRefusal);
    }

    /** Ends the request, since another upstream might crash too. */
    private NextStep crashSuspected(AttemptEvent.CrashSuspected event) {
        recordFailure(Refusal.of(ErrorKind.UPSTREAM_BROKE));
        return event.answerBegan() ? new NextStep.AbortAnswer(lastRefusal) : new NextStep.Refuse(lastRefusal);
    }

    /** Keeps the refusal to return if no attempt follows, unless an earlier attempt makes it untrue. */
    private void recordFailure(Refusal refusal) {
        boolean notRun = refusal.kind().runState() == RunState.NOT_RUN;
        if (!notRun || !mayHaveRun) {
            lastRefusal = refusal;
        }
        mayHaveRun |= !notRun;
        possibleRuns += notRun ? 0 : 1;
    }

    private boolean acquireRetry() {
        boolean allowed = (constraints.idempotent() || !mayHaveRun)
                && attempts < MAX_ATTEMPTS
                && possibleRuns < constraints.maxRuns()
                && !deadlinePassed();
        if (!allowed || !budget.tryAcquire()) {
            return false;
        }
        attempts++;
        return true;
    }

    private boolean deadlinePassed() {
        return clock.millis() >= constraints.deadlineMillis();
    }
}
