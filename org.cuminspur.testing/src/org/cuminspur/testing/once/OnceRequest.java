package org.cuminspur.testing.once;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.cuminspur.errors.Refusal;
import org.cuminspur.once.ActionId;
import org.cuminspur.once.StoredAnswer;

/**
 * One request of a caller, with what became of it.
 *
 * <p>Used by one thread. A request is told at most one thing; nothing if its router ended first.
 */
public final class OnceRequest {
    private final int number;
    private final ActionId action;
    private final String fingerprint;
    private final long deadlineMillis;
    private Option<Either<Refusal, StoredAnswer>> told = Option.none();
    private boolean repeated;
    private boolean sent;
    private int executions;

    OnceRequest(int number, ActionId action, String fingerprint, long deadlineMillis) {
        this.number = number;
        this.action = action;
        this.fingerprint = fingerprint;
        this.deadlineMillis = deadlineMillis;
    }

    public int number() {
        return number;
    }

    public ActionId action() {
        return action;
    }

    public String fingerprint() {
        return fingerprint;
    }

    public long deadlineMillis() {
        return deadlineMillis;
    }

    /** Returns what the caller was told. */
    public Option<Either<Refusal, StoredAnswer>> told() {
        return told;
    }

    /** Returns the refusal that the caller was told. */
    public Option<Refusal> refusal() {
        return told.flatMap(either -> Option.ofOptional(either.swap().toJavaOptional()));
    }

    /** Returns whether the answer was told from a record. */
    public boolean repeated() {
        return repeated;
    }

    /** Returns whether a byte of it left its router. */
    public boolean sent() {
        return sent;
    }

    /** Returns how often the upstream executed it. */
    public int executions() {
        return executions;
    }

    void sending() {
        sent = true;
    }

    StoredAnswer execute() {
        executions++;
        return new StoredAnswer(200, "text/plain", "request " + number + " execution " + executions);
    }

    void tell(Either<Refusal, StoredAnswer> outcome, boolean fromRecord) {
        if (told.isEmpty()) {
            told = Option.of(outcome);
            repeated = fromRecord;
        }
    }

    @Override
    public String toString() {
        return "request " + number + " of " + action.key() + " told " + told + (repeated ? " from a record" : "");
    }
}
