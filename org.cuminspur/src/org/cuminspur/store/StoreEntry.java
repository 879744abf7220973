package org.cuminspur.store;

/**
 * A key with its value; immutable.
 *
 * @param modRevision the store revision that last wrote the key
 */
public record StoreEntry(String key, String value, StoreRevision modRevision) {}
