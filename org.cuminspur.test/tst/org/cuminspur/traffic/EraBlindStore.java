package org.cuminspur.traffic;

import io.vavr.control.Either;
import java.util.List;
import java.util.function.Consumer;
import org.cuminspur.store.PolledStore;
import org.cuminspur.store.StoreChanges;
import org.cuminspur.store.StoreEntry;
import org.cuminspur.store.StoreFault;
import org.cuminspur.store.StoreLease;
import org.cuminspur.store.StoreRevision;
import org.cuminspur.store.StoreView;
import org.cuminspur.store.Txn;
import org.cuminspur.store.TxnResult;
import org.cuminspur.testing.SimulatedStore;

/** Passes calls on to a store and states in the replies the era that a naive policy knows; not thread-safe. */
final class EraBlindStore implements PolledStore {
    private final SimulatedStore store;
    private final boolean learnsFromReads;
    private long knownEra;

    EraBlindStore(SimulatedStore store, boolean learnsFromReads) {
        this.store = store;
        this.learnsFromReads = learnsFromReads;
    }

    @Override
    public void range(String prefix, Consumer<Either<StoreFault, StoreView>> reply) {
        store.range(
                prefix,
                answer -> reply.accept(answer.map(view -> {
                    knownEra = learnsFromReads ? view.revision().era() : 0;
                    return inKnownEra(view);
                })));
    }

    @Override
    public void commit(Txn txn, Consumer<Either<StoreFault, TxnResult>> reply) {
        store.commit(
                txn,
                answer -> reply.accept(
                        answer.map(result -> new TxnResult(result.succeeded(), inKnownEra(result.revision())))));
    }

    @Override
    public void changes(String prefix, StoreRevision afterRevision, Consumer<Either<StoreFault, StoreChanges>> reply) {
        // As a store that knows of no eras would read the revision asked for.
        StoreRevision asked = new StoreRevision(store.table().revision().era(), afterRevision.number());
        store.changes(
                prefix,
                asked,
                answer -> reply.accept(answer.map(changes -> {
                    List<StoreEntry> entries =
                            changes.entries().stream().map(this::inKnownEra).toList();
                    return new StoreChanges(inKnownEra(changes.revision()), entries, changes.complete());
                })));
    }

    @Override
    public void grantLease(long ttlSeconds, Consumer<Either<StoreFault, StoreLease>> reply) {
        store.grantLease(ttlSeconds, reply);
    }

    @Override
    public void keepAlive(StoreLease lease, Consumer<Either<StoreFault, Long>> reply) {
        store.keepAlive(lease, reply);
    }

    private StoreView inKnownEra(StoreView view) {
        return new StoreView(
                inKnownEra(view.revision()),
                view.entries().stream().map(this::inKnownEra).toList());
    }

    private StoreEntry inKnownEra(StoreEntry entry) {
        return new StoreEntry(entry.key(), entry.value(), inKnownEra(entry.modRevision()));
    }

    private StoreRevision inKnownEra(StoreRevision revision) {
        return new StoreRevision(knownEra, revision.number());
    }
}
