package org.cuminspur.retry;

/**
 * What a request allows; immutable.
 *
 * @param idempotent whether it may be sent again although it may have run
 * @param deadlineMillis when its answer must be whole
 */
public record RetryTerms(boolean idempotent, long deadlineMillis) {}
