package org.cuminspur.once;

import java.util.function.Consumer;
import org.cuminspur.errors.Refusal;

/**
 * Records actions that must run at most once, before they are sent.
 *
 * <p>Implementations are thread-safe. Over the whole fleet and for all time within the announced window, at most one
 * {@link Decision.Run} is given for an action, unless the router that got it reports {@link Outcome.NotRun}.
 */
public interface IdempotencyLedger {
    /**
     * Asks to run an action.
     *
     * @param fingerprint hash of the request, by which a reused key is told from a repeat
     * @param deadlineMillis the latest time of the reply
     * @param reply takes the decision, exactly once, at once or later and on any thread
     */
    void tryClaim(ActionId action, String fingerprint, long deadlineMillis, Consumer<Decision> reply);

    /**
     * Tells how an action that was to run has ended.
     *
     * @param tried runs once, at once or later and on any thread, when the end is recorded or could not be at the first
     *     try; a caller whose answer ends after it can repeat its request and get the same answer
     */
    void recordOutcome(Claim claim, Outcome outcome, Runnable tried);

    /** Tells how an action that was to run has ended, and waits for nothing. */
    default void recordOutcome(Claim claim, Outcome outcome) {
        recordOutcome(claim, outcome, () -> {});
    }

    /**
     * The right to send an action once; immutable.
     *
     * @param attemptId distinguishes this claim from any other on the same action
     */
    record Claim(ActionId action, String attemptId) {}

    /** What to do with a request; each kind is an immutable record. */
    sealed interface Decision {
        /** Send it, once. */
        record Run(Claim claim) implements Decision {}

        /** Answer with the first request's answer. */
        record Replay(StoredAnswer answer) implements Decision {}

        /** Refuse it. */
        record Refuse(Refusal refusal) implements Decision {}
    }

    /** How an action ended; each kind is an immutable record. */
    sealed interface Outcome {
        /** It is certain that it did not run: no byte was sent, or the upstream promised so. */
        record NotRun() implements Outcome {}

        /** It ran and was answered. */
        record Answered(StoredAnswer answer) implements Outcome {}

        /** It may have run. */
        record Unknown() implements Outcome {}
    }
}
