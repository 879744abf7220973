package org.cuminspur.internal.once;

import io.vavr.control.Either;
import io.vavr.control.Try;
import java.util.function.Consumer;
import org.cuminspur.store.StoreEntry;
import org.cuminspur.store.StoreFault;
import org.cuminspur.store.StoreRevision;
import org.cuminspur.store.StoreView;
import org.cuminspur.store.Txn;

/**
 * The time before which dated idempotency keys are permanently refused, as last seen by this router.
 *
 * <p>Thread-safe. The floor only rises. A record is written on condition that the floor is still the one that its key
 * was checked against, and is deleted only after the floor has passed its key; so a deleted record is never written
 * again, regardless of the routers' clocks and of how late a write takes effect.
 */
final class ExpiryFloor {
    /** One version of the floor; immutable. */
    record Version(long millis, StoreRevision modRevision) {}

    private final MonitoredStore store;
    private volatile Version latest = new Version(0, StoreRevision.NONE);

    ExpiryFloor(MonitoredStore store) {
        this.store = store;
    }

    /** Returns the latest version that this router has seen. */
    Version latest() {
        return latest;
    }

    /** Reads the floor from the store. */
    void refresh(Consumer<Either<StoreFault, Version>> onReply) {
        store.range(RecordKey.FLOOR_KEY, view -> onReply.accept(view.map(this::update)));
    }

    /** Applies a version that was read or written, unless it is older than the latest one, and returns the latest. */
    synchronized Version update(Version version) {
        if (version.modRevision().isAfter(latest.modRevision())) {
            latest = version;
        }
        return latest;
    }

    /** Returns the condition that the floor has not changed since a version. */
    static Txn.Compare unchangedCondition(Version version) {
        return new Txn.Compare(RecordKey.FLOOR_KEY, version.modRevision());
    }

    private Version update(StoreView view) {
        return view.entry(RecordKey.FLOOR_KEY)
                .map(entry -> update(parseVersion(entry)))
                .orElse(latest);
    }

    private static Version parseVersion(StoreEntry entry) {
        // A malformed floor must not let any dated key run, so it counts as later than every key.
        long millis = Try.of(() -> Long.parseLong(entry.value())).getOrElse(Long.MAX_VALUE);
        return new Version(millis, entry.modRevision());
    }
}
