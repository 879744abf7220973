package org.cuminspur.traffic;

import org.cuminspur.store.StoreEntry;

/** Reads entries of the platform's store; implementations are stateless, thread-safe and never throw. */
@FunctionalInterface
public interface FleetUpdateDecoder {
    /** Returns what an entry says; an empty value means that the entry was removed. */
    FleetUpdate decode(StoreEntry entry);
}
