package org.cuminspur.internal.once;

import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import org.cuminspur.once.IdempotencyLedger.Outcome;
import org.cuminspur.once.StoredAnswer;

/**
 * What the store keeps about one action; immutable.
 *
 * @param attempt the claim that wrote the record last
 * @param fingerprint hash of the request
 * @param untilMillis when an attempt that is still pending is given up for unknown
 * @param answer the answer, if it is kept
 */
public record ActionRecord(
        State state, String attempt, String fingerprint, long untilMillis, Option<StoredAnswer> answer) {
    /** How far the action has come. */
    public enum State {
        /** An attempt may send it or has sent it. */
        PENDING,
        /** Every attempt so far has sent nothing and never will: the next one may. */
        RELEASED,
        /** It ran and its answer is kept. */
        ANSWERED,
        /** It ran and its answer is not kept. */
        NOT_KEPT,
        /** It may have run. */
        UNKNOWN
    }

    /** Returns the record to write before an action is sent. */
    static ActionRecord pending(String attempt, String fingerprint, long untilMillis) {
        return new ActionRecord(State.PENDING, attempt, fingerprint, untilMillis, Option.none());
    }

    /** Returns the record of an attempt that sends nothing. */
    static ActionRecord released(String attempt, String fingerprint) {
        return new ActionRecord(State.RELEASED, attempt, fingerprint, 0, Option.none());
    }

    /** Returns this record after the attempt has ended. */
    ActionRecord ended(Outcome outcome, long keptBytes) {
        if (outcome instanceof Outcome.Answered answered) {
            boolean kept = answered.answer().body().getBytes(StandardCharsets.UTF_8).length <= keptBytes;
            return kept ? with(State.ANSWERED, Option.of(answered.answer())) : with(State.NOT_KEPT, Option.none());
        }
        return with(outcome instanceof Outcome.NotRun ? State.RELEASED : State.UNKNOWN, Option.none());
    }

    private ActionRecord with(State next, Option<StoredAnswer> kept) {
        return new ActionRecord(next, attempt, fingerprint, untilMillis, kept);
    }
}
