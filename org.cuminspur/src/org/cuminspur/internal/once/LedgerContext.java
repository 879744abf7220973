package org.cuminspur.internal.once;

import java.util.List;
import java.util.function.Consumer;
import org.cuminspur.once.IdempotencyEvent;
import org.cuminspur.once.IdempotencySettings;
import org.cuminspur.store.StoreRevision;
import org.cuminspur.store.Txn;
import org.cuminspur.time.Clock;

/** Components shared by the classes of one ledger; immutable, and each component is thread-safe. */
record LedgerContext(
        IdempotencySettings settings,
        Clock clock,
        MonitoredStore store,
        StoreHealth health,
        ExpiryFloor floor,
        Consumer<IdempotencyEvent> events) {
    /**
     * Returns a write that succeeds only if the record is still at {@code modRevision} and, for a dated key, the floor
     * is still the one that the key was checked against.
     */
    static Txn recordWrite(
            RecordKey key, StoreRevision modRevision, ActionRecord record, ExpiryFloor.Version checkedFloor) {
        Txn.Compare unchanged = new Txn.Compare(key.storeKey(), modRevision);
        List<Txn.Compare> compares = key.keyTimeMillis().isPresent()
                ? List.of(unchanged, ExpiryFloor.unchangedCondition(checkedFloor))
                : List.of(unchanged);
        return new Txn(compares, List.of(Txn.Put.of(key.storeKey(), RecordCodec.format(record))), List.of());
    }

    /** Returns whether a key is older than a version of the floor. */
    static boolean isExpired(RecordKey key, ExpiryFloor.Version floor) {
        return key.isBelow(floor.millis());
    }
}
