package org.cuminspur.traffic;

import org.cuminspur.store.StoreEntry;

/** Decodes entries of the platform's store; implementations are stateless, thread-safe and never throw. */
@FunctionalInterface
public interface FleetUpdateDecoder {
    /** Decodes an entry; an empty value means that the entry was removed. */
    FleetUpdate decode(StoreEntry entry);

    /** Returns whether an entry of a key holds all that counts, so that an earlier one need not be decoded. */
    default boolean isComplete(String key) {
        return false;
    }
}
