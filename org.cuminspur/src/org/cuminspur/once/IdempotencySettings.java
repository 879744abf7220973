package org.cuminspur.once;

/**
 * Limits on what an idempotency ledger accepts and stores; immutable.
 *
 * @param maxKeyAgeMillis age above which a dated idempotency key is refused
 * @param maxStoredAnswerBytes largest answer body, in bytes of UTF-8, that is stored for replay
 * @param undatedKeyPolicy treatment of keys that carry no timestamp
 */
public record IdempotencySettings(long maxKeyAgeMillis, long maxStoredAnswerBytes, UndatedKeyPolicy undatedKeyPolicy) {}
