package org.cuminspur.internal.once;

import io.vavr.control.Either;
import io.vavr.control.Try;
import java.util.function.Consumer;
import org.cuminspur.store.StoreEntry;
import org.cuminspur.store.StoreFault;
import org.cuminspur.store.StoreView;
import org.cuminspur.store.Txn;

/**
 * The time before which dated idempotency keys are refused for good, as this router knows it.
 *
 * <p>Thread-safe. The floor only rises. A record is written under the condition that the floor is still the one that
 * its key was checked against, and is deleted only after the floor has passed it; so a deleted record is never written
 * anew, whatever the clocks of the routers say and however late a write takes effect.
 */
final class Floor {
    /** One version of the floor; immutable. */
    record Version(long millis, long modRevision) {}

    private final LedgerStore store;
    private volatile Version known = new Version(0, 0);

    Floor(LedgerStore store) {
        this.store = store;
    }

    /** Returns the newest version that this router has seen. */
    Version known() {
        return known;
    }

    /** Reads the floor. */
    void refresh(Consumer<Either<StoreFault, Version>> reply) {
        store.range(RecordKey.FLOOR, view -> reply.accept(view.map(this::learn)));
    }

    /** Takes a version that was read or written; an older one than known changes nothing. */
    synchronized Version learn(Version version) {
        if (version.modRevision() > known.modRevision()) {
            known = version;
        }
        return known;
    }

    /** Returns the condition that a version is still the newest. */
    static Txn.Compare unchanged(Version version) {
        return new Txn.Compare(RecordKey.FLOOR, version.modRevision());
    }

    private Version learn(StoreView view) {
        return view.entry(RecordKey.FLOOR).map(entry -> learn(version(entry))).orElse(known);
    }

    private static Version version(StoreEntry entry) {
        // A floor that cannot be read must not let anything run: it counts as past every key.
        long millis = Try.of(() -> Long.parseLong(entry.value())).getOrElse(Long.MAX_VALUE);
        return new Version(millis, entry.modRevision());
    }
}
