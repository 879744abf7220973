package org.cuminspur.internal.once;

import java.util.List;
import java.util.function.Consumer;
import org.cuminspur.once.IdempotencyEvent;
import org.cuminspur.once.IdempotencySettings;
import org.cuminspur.store.Txn;
import org.cuminspur.time.Clock;

/** What the parts of one ledger share; immutable, and each part is thread-safe. */
record LedgerParts(
        IdempotencySettings settings,
        Clock clock,
        LedgerStore store,
        StoreHealth health,
        Floor floor,
        Consumer<IdempotencyEvent> events) {
    /** Returns the write of a record that was last written at a revision, under the floor it was checked against. */
    static Txn write(RecordKey key, long modRevision, ActionRecord record, Floor.Version checked) {
        Txn.Compare unchanged = new Txn.Compare(key.storeKey(), modRevision);
        List<Txn.Compare> compares =
                key.timeMillis().isPresent() ? List.of(unchanged, Floor.unchanged(checked)) : List.of(unchanged);
        return new Txn(compares, List.of(Txn.Put.of(key.storeKey(), RecordCodec.format(record))), List.of());
    }

    /** Returns whether a key's record is below a version of the floor. */
    static boolean expired(RecordKey key, Floor.Version floor) {
        return key.below(floor.millis());
    }
}
