package org.cuminspur.store;

/**
 * The answer to a transaction; immutable.
 *
 * @param succeeded whether the conditions held and the writes took effect
 * @param revision the store's revision after it
 */
public record TxnResult(boolean succeeded, long revision) {}
