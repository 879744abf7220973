package org.cuminspur.store;

import java.util.List;

/**
 * Changes of a store's keys after a revision; immutable.
 *
 * @param revision the store's revision; of a later era than the one asked for if that has ended
 * @param entries the changed keys in the order of their changes, deleted ones with an empty value
 * @param complete whether the store still has all changes after the revision asked for; if not, read again
 */
public record StoreChanges(StoreRevision revision, List<StoreEntry> entries, boolean complete) {
    public StoreChanges {
        entries = List.copyOf(entries);
    }

    /** Returns the reply of a store that has dropped some of the changes. */
    public static StoreChanges dropped(StoreRevision revision) {
        return new StoreChanges(revision, List.of(), false);
    }
}
