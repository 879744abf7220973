package org.cuminspur.once;

import java.util.function.Consumer;
import org.cuminspur.errors.Refusal;

/**
 * Records actions that must run at most once before they are sent to an upstream.
 *
 * <p>Implementations are thread-safe. Across the whole fleet, and while the key of an action is within the window, at
 * most one {@link Decision.Run} is granted for the action, unless the router that got it reports {@link
 * Outcome.NotRun}.
 */
public interface IdempotencyLedger {
    /**
     * Requests the right to run an action.
     *
     * @param fingerprint hash of the request, which distinguishes a repeat from a key reused for another request
     * @param deadlineMillis latest time at which the action may be sent, by this router's clock
     * @param onDecision receives the decision exactly once, synchronously or later, on any thread
     */
    void tryClaim(ActionId action, String fingerprint, long deadlineMillis, Consumer<Decision> onDecision);

    /**
     * Records the outcome of a claimed action.
     *
     * @param onRecordAttempted runs once, synchronously or later, on any thread, once the outcome is recorded or could
     *     not be recorded at the first attempt; a caller whose answer ends after it is recorded gets the same answer
     *     for a repeated request
     */
    void recordOutcome(Claim claim, Outcome outcome, Runnable onRecordAttempted);

    /** Records the outcome of a claimed action without a callback. */
    default void recordOutcome(Claim claim, Outcome outcome) {
        recordOutcome(claim, outcome, () -> {});
    }

    /**
     * The right to send an action once; immutable.
     *
     * @param attemptId distinguishes this claim from any other on the same action
     */
    record Claim(ActionId action, String attemptId) {}

    /** How to handle a request; each kind is an immutable record. */
    sealed interface Decision {
        /** Send it once. */
        record Run(Claim claim) implements Decision {}

        /** Answer with the stored answer of the first request. */
        record Replay(StoredAnswer answer) implements Decision {}

        /** Refuse it. */
        record Refuse(Refusal refusal) implements Decision {}
    }

    /** The outcome of an action; each kind is an immutable record. */
    sealed interface Outcome {
        /** It certainly did not run: no byte was sent, or the upstream stated that it did not run. */
        record NotRun() implements Outcome {}

        /** It ran and was answered. */
        record Answered(StoredAnswer answer) implements Outcome {}

        /** It may have run. */
        record Unknown() implements Outcome {}
    }
}
