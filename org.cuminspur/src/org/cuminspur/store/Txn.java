package org.cuminspur.store;

import java.util.List;

/**
 * A transaction that is applied atomically if every compared key is unchanged; immutable.
 *
 * @param compares conditions, all of which must hold
 * @param puts keys to write
 * @param deletes keys to remove
 */
public record Txn(List<Compare> compares, List<Put> puts, List<String> deletes) {
    public Txn {
        compares = List.copyOf(compares);
        puts = List.copyOf(puts);
        deletes = List.copyOf(deletes);
    }

    /** Returns a compare-and-swap of one key. */
    public static Txn compareAndSwap(String key, StoreRevision modRevision, String value) {
        return new Txn(List.of(new Compare(key, modRevision)), List.of(Put.of(key, value)), List.of());
    }

    /**
     * A condition that holds if the key was last written at the given revision; immutable.
     *
     * @param modRevision the store revision, {@link StoreRevision#NONE} if the key must be absent
     */
    public record Compare(String key, StoreRevision modRevision) {}

    /**
     * A write of one key; immutable.
     *
     * @param lease the lease with which the key expires, {@link StoreLease#NONE} if it does not expire
     */
    public record Put(String key, String value, StoreLease lease) {
        /** Returns a write that does not expire. */
        public static Put of(String key, String value) {
            return new Put(key, value, StoreLease.NONE);
        }
    }
}
