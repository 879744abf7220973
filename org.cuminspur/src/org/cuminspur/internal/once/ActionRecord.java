package org.cuminspur.internal.once;

import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import org.cuminspur.once.IdempotencyLedger.Outcome;
import org.cuminspur.once.StoredAnswer;

/**
 * The stored record of one action; immutable.
 *
 * @param attemptId id of the attempt that last wrote the record
 * @param fingerprint hash of the request
 * @param pendingUntilMillis time after which the outcome of a pending attempt counts as unknown
 * @param answer the answer, if it is stored
 */
public record ActionRecord(
        State state, String attemptId, String fingerprint, long pendingUntilMillis, Option<StoredAnswer> answer) {
    /** State of the action. */
    public enum State {
        /** An attempt may send the action or has sent it. */
        PENDING,
        /** No attempt so far has run it or ever will: a new attempt is allowed. */
        RELEASED,
        /** It ran and its answer is stored. */
        ANSWERED,
        /** It ran and its answer is too large to be stored. */
        NOT_KEPT,
        /** It may have run. */
        UNKNOWN
    }

    /** Returns the record to write before an action is sent. */
    static ActionRecord pending(String attemptId, String fingerprint, long pendingUntilMillis) {
        return new ActionRecord(State.PENDING, attemptId, fingerprint, pendingUntilMillis, Option.none());
    }

    /** Returns the record of an attempt that will never send the action. */
    static ActionRecord released(String attemptId, String fingerprint) {
        return new ActionRecord(State.RELEASED, attemptId, fingerprint, 0, Option.none());
    }

    /** Returns this record with the outcome of its attempt. */
    ActionRecord withOutcome(Outcome outcome, long maxStoredAnswerBytes) {
        if (outcome instanceof Outcome.Answered answered) {
            boolean fits = answered.answer().body().getBytes(StandardCharsets.UTF_8).length <= maxStoredAnswerBytes;
            return fits ? with(State.ANSWERED, Option.of(answered.answer())) : with(State.NOT_KEPT, Option.none());
        }
        return with(outcome instanceof Outcome.NotRun ? State.RELEASED : State.UNKNOWN, Option.none());
    }

    private ActionRecord with(State newState, Option<StoredAnswer> storedAnswer) {
        return new ActionRecord(newState, attemptId, fingerprint, pendingUntilMillis, storedAnswer);
    }
}
