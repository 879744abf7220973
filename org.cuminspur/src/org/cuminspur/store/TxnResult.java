package org.cuminspur.store;

/**
 * The result of a transaction; immutable.
 *
 * @param succeeded whether the conditions held and the writes took effect
 * @param revision the store revision after the transaction, {@link StoreRevision#NONE} if unknown
 */
public record TxnResult(boolean succeeded, StoreRevision revision) {}
