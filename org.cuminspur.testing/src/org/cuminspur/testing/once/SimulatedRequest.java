package org.cuminspur.testing.once;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.cuminspur.errors.Refusal;
import org.cuminspur.once.ActionId;
import org.cuminspur.once.StoredAnswer;

/**
 * One request of a caller, with its response and execution count.
 *
 * <p>Not thread-safe. A request has at most one response, and none if its router ended first.
 */
public final class SimulatedRequest {
    private final int number;
    private final ActionId action;
    private final String fingerprint;
    private final long deadlineMillis;
    private Option<Either<Refusal, StoredAnswer>> response = Option.none();
    private boolean replayed;
    private boolean sent;
    private int executions;

    SimulatedRequest(int number, ActionId action, String fingerprint, long deadlineMillis) {
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

    /** Returns the refusal or answer that the caller received. */
    public Option<Either<Refusal, StoredAnswer>> response() {
        return response;
    }

    /** Returns the refusal that the caller received. */
    public Option<Refusal> refusal() {
        return response.flatMap(either -> Option.ofOptional(either.swap().toJavaOptional()));
    }

    /** Returns whether the answer was replayed from a record. */
    public boolean replayed() {
        return replayed;
    }

    /** Returns whether any byte of it was sent upstream. */
    public boolean sent() {
        return sent;
    }

    /** Returns how often the upstream executed it. */
    public int executions() {
        return executions;
    }

    void markSent() {
        sent = true;
    }

    StoredAnswer execute() {
        executions++;
        return new StoredAnswer(200, "text/plain", "request " + number + " execution " + executions);
    }

    void respond(Either<Refusal, StoredAnswer> outcome, boolean fromRecord) {
        if (response.isEmpty()) {
            response = Option.of(outcome);
            replayed = fromRecord;
        }
    }

    @Override
    public String toString() {
        return "request " + number + " of " + action.key() + " got " + response + (replayed ? " from a record" : "");
    }
}
