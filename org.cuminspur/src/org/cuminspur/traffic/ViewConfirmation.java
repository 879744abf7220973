package org.cuminspur.traffic;

import org.cuminspur.id.Revision;
import org.cuminspur.store.StoreRevision;

/**
 * What confirmed an instance's view of the store last; immutable.
 *
 * @param config the configuration in force then
 * @param store the store revision up to which the view had all changes
 * @param atMillis when the read that confirmed it began, by the steady clock
 */
public record ViewConfirmation(Revision config, StoreRevision store, Source source, long atMillis) {
    /** How a view is confirmed. */
    public enum Source {
        /** All keys were read. */
        READ,
        /** The changes up to the store's revision were read. */
        CHANGES
    }

    /** Precedes all confirmations. */
    public static final ViewConfirmation NONE =
            new ViewConfirmation(Revision.NONE, StoreRevision.NONE, Source.READ, Long.MIN_VALUE);
}
