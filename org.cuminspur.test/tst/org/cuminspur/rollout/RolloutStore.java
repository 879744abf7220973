package org.cuminspur.rollout;

import io.vavr.control.Either;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.cuminspur.store.PolledStore;
import org.cuminspur.store.StoreChanges;
import org.cuminspur.store.StoreFault;
import org.cuminspur.store.StoreLease;
import org.cuminspur.store.StoreRevision;
import org.cuminspur.store.StoreView;
import org.cuminspur.store.Txn;
import org.cuminspur.store.TxnResult;

/** A store that drops the conditions of writes as long as a test asks for it; not thread-safe. */
record RolloutStore(PolledStore store, BooleanSupplier unconditional) implements PolledStore {
    @Override
    public void commit(Txn txn, Consumer<Either<StoreFault, TxnResult>> reply) {
        Txn sent = unconditional.getAsBoolean() ? new Txn(List.of(), txn.puts(), txn.deletes()) : txn;
        store.commit(sent, reply);
    }

    @Override
    public void changes(String prefix, StoreRevision afterRevision, Consumer<Either<StoreFault, StoreChanges>> reply) {
        store.changes(prefix, afterRevision, reply);
    }

    @Override
    public void range(String prefix, Consumer<Either<StoreFault, StoreView>> reply) {
        store.range(prefix, reply);
    }

    @Override
    public void grantLease(long ttlSeconds, Consumer<Either<StoreFault, StoreLease>> reply) {
        store.grantLease(ttlSeconds, reply);
    }

    @Override
    public void keepAlive(StoreLease lease, Consumer<Either<StoreFault, Long>> reply) {
        store.keepAlive(lease, reply);
    }
}
