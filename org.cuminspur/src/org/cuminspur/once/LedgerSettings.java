package org.cuminspur.once;

/**
 * How long and how much a ledger keeps; immutable.
 *
 * @param windowMillis age past which a dated idempotency key is refused
 * @param keptBytes the largest body of an answer that is kept for repeats
 * @param undatedKeys what becomes of keys whose age cannot be told
 */
public record LedgerSettings(long windowMillis, long keptBytes, UndatedKeys undatedKeys) {}
