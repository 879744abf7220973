package org.cuminspur.store;

import java.util.List;
import java.util.Optional;

/**
 * Entries as of one store revision; immutable.
 *
 * @param revision the store revision that the entries are as of
 */
public record StoreView(StoreRevision revision, List<StoreEntry> entries) {
    public StoreView {
        entries = List.copyOf(entries);
    }

    /** Returns the entry of a key. */
    public Optional<StoreEntry> entry(String key) {
        return entries.stream().filter(entry -> entry.key().equals(key)).findFirst();
    }

    /** Returns the revision that last wrote a key, {@link StoreRevision#NONE} if the key is absent. */
    public StoreRevision modRevision(String key) {
        return entry(key).map(StoreEntry::modRevision).orElse(StoreRevision.NONE);
    }
}
