package org.cuminspur.once;

/**
 * How long and how much a ledger keeps; immutable.
 *
 * @param maxKeyAgeMillis age past which a dated idempotency key is refused
 * @param maxStoredAnswerBytes the largest body of an answer that is kept for repeats
 * @param undatedKeyPolicy what becomes of keys whose age cannot be told
 */
public record IdempotencySettings(long maxKeyAgeMillis, long maxStoredAnswerBytes, UndatedKeyPolicy undatedKeyPolicy) {}
