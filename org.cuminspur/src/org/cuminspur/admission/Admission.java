package org.cuminspur.admission;

import io.vavr.control.Either;
import java.util.function.Consumer;
import org.cuminspur.config.AccountSpec;
import org.cuminspur.config.Priority;
import org.cuminspur.errors.Refusal;

/**
 * Admits requests, at once or after a wait, or refuses them.
 *
 * <p>Implementations are thread-safe. Each reply is called exactly once, at once or later and on any thread, and
 * no later than the request's deadline.
 */
public interface Admission {
    /** Asks to start a request; {@code reply} gets a permit or a refusal. */
    void admit(Request request, Consumer<Either<Refusal, Permit>> reply);

    /**
     * A request to be admitted; immutable.
     *
     * @param deadlineMillis time after which an answer is of no use
     */
    record Request(AccountSpec account, Priority priority, long deadlineMillis) {}

    /** Allows one request to run; thread-safe. */
    @FunctionalInterface
    interface Permit {
        /** Ends the request; further calls do nothing. */
        void release();
    }
}
