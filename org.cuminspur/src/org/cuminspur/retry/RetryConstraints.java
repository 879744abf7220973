package org.cuminspur.retry;

/**
 * The conditions under which a request may be retried; immutable.
 *
 * @param idempotent whether it may be sent again although it may have run
 * @param deadlineMillis time by which its answer must be complete
 * @param maxRuns the most upstreams that may run it; at least 1
 */
public record RetryConstraints(boolean idempotent, long deadlineMillis, int maxRuns) {
    /** Allows as many runs as attempts. */
    public RetryConstraints(boolean idempotent, long deadlineMillis) {
        this(idempotent, deadlineMillis, AttemptStateMachine.MAX_ATTEMPTS);
    }
}
