package org.cuminspur.retry;

/**
 * What a request allows; immutable.
 *
 * @param idempotent whether it may be sent again although it may have run
 * @param deadlineMillis when its answer must be whole
 * @param maxRuns upstreams that may run it, at least 1
 */
public record RetryConstraints(boolean idempotent, long deadlineMillis, int maxRuns) {
    /** Allows as many runs as attempts. */
    public RetryConstraints(boolean idempotent, long deadlineMillis) {
        this(idempotent, deadlineMillis, AttemptStateMachine.MAX_ATTEMPTS);
    }
}
