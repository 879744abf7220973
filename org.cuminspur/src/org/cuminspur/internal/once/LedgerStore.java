package org.cuminspur.internal.once;

import io.vavr.control.Either;
import java.util.function.Consumer;
import org.cuminspur.store.Store;
import org.cuminspur.store.StoreFault;
import org.cuminspur.store.StoreView;
import org.cuminspur.store.Txn;
import org.cuminspur.store.TxnResult;

/** The store as the ledger calls it, with its health noted at each reply; thread-safe. */
final class LedgerStore {
    private final Store store;
    private final StoreHealth health;

    LedgerStore(Store store, StoreHealth health) {
        this.store = store;
        this.health = health;
    }

    void range(String prefix, Consumer<Either<StoreFault, StoreView>> reply) {
        store.range(prefix, noted(reply));
    }

    void commit(Txn txn, Consumer<Either<StoreFault, TxnResult>> reply) {
        store.commit(txn, noted(reply));
    }

    private <T> Consumer<Either<StoreFault, T>> noted(Consumer<Either<StoreFault, T>> reply) {
        return result -> {
            health.called(result.isRight());
            reply.accept(result);
        };
    }
}
