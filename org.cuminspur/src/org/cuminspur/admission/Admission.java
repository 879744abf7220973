package org.cuminspur.admission;

import io.vavr.control.Either;
import java.util.function.Consumer;
import org.cuminspur.config.AccountSpec;
import org.cuminspur.config.Priority;
import org.cuminspur.errors.Refusal;

/**
 * Decides when a request may start, or that it may not.
 *
 * <p>Implementations are thread-safe. Each reply is given exactly once, at once or later and on any thread, and no
 * later than the demand's deadline.
 */
public interface Admission {
    /** Asks for a request to start. */
    void admit(Request request, Consumer<Either<Refusal, Permit>> reply);

    /**
     * A request that wants to start; immutable.
     *
     * @param deadlineMillis time after which an answer is of no use
     */
    record Request(AccountSpec account, Priority priority, long deadlineMillis) {}

    /** Stands for a request that may run; thread-safe. */
    @FunctionalInterface
    interface Permit {
        /** Ends the request; further calls do nothing. */
        void release();
    }
}
