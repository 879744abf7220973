package org.cuminspur.store;

/**
 * A lease of the store; immutable.
 *
 * @param era the era in which it was granted; in a later one its id may be given out again
 * @param id the store's id, above 0
 */
public record StoreLease(long era, long id) {
    /** No lease: a key does not expire. */
    public static final StoreLease NONE = new StoreLease(0, 0);

    /** Returns a lease of a store without eras. */
    public static StoreLease withoutEra(long id) {
        return new StoreLease(0, id);
    }
}
