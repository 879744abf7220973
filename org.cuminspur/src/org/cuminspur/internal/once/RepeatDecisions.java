package org.cuminspur.internal.once;

import org.cuminspur.errors.ErrorKind;
import org.cuminspur.errors.Refusal;
import org.cuminspur.once.IdempotencyLedger.Decision;

/** Decides on requests whose action already has a record; stateless and thread-safe. */
final class RepeatDecisions {
    private RepeatDecisions() {}

    /** Returns the decision for a record that allows no new attempt. */
    static Decision decide(ActionRecord record, String fingerprint, long nowMillis) {
        if (!record.fingerprint().equals(fingerprint)) {
            return refuse(ErrorKind.KEY_REUSED);
        }
        return switch (record.state()) {
            case ANSWERED -> new Decision.Replay(record.answer().get());
            case NOT_KEPT -> refuse(ErrorKind.OUTCOME_NOT_KEPT);
            case PENDING ->
                refuse(
                        nowMillis <= record.pendingUntilMillis()
                                ? ErrorKind.KEY_IN_PROGRESS
                                : ErrorKind.OUTCOME_UNKNOWN);
            case UNKNOWN, RELEASED -> refuse(ErrorKind.OUTCOME_UNKNOWN);
        };
    }

    /** Returns a refusal without detail. */
    static Decision refuse(ErrorKind kind) {
        return new Decision.Refuse(Refusal.of(kind));
    }
}
