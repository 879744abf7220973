package org.cuminspur.store;

import java.util.Comparator;

/**
 * A revision of the store within one of its eras; immutable.
 *
 * <p>A store that comes back from a copy loses changes that it had acknowledged and gives their numbers out again, to
 * other changes. Each such return begins an era, so revisions are ordered by their era first, and a revision of an earlier
 * era says nothing of the present state.
 *
 * @param era number of the era, 0 for a store that never loses acknowledged changes
 * @param number the store's count of changes, above 0
 */
public record StoreRevision(long era, long number) implements Comparable<StoreRevision> {
    /** Precedes all revisions; the revision of a key that does not exist. */
    public static final StoreRevision NONE = new StoreRevision(0, 0);

    private static final Comparator<StoreRevision> ORDER =
            Comparator.comparingLong(StoreRevision::era).thenComparingLong(StoreRevision::number);

    /** Returns a revision of a store without eras. */
    public static StoreRevision withoutEra(long number) {
        return new StoreRevision(0, number);
    }

    public boolean isAfter(StoreRevision other) {
        return compareTo(other) > 0;
    }

    /** Returns the later one of two revisions. */
    public StoreRevision max(StoreRevision other) {
        return isAfter(other) ? this : other;
    }

    @Override
    public int compareTo(StoreRevision other) {
        return ORDER.compare(this, other);
    }
}
