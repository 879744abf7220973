package org.cuminspur.internal.once;

import io.vavr.control.Either;
import java.util.function.Consumer;
import org.cuminspur.store.Store;
import org.cuminspur.store.StoreFault;
import org.cuminspur.store.StoreView;
import org.cuminspur.store.Txn;
import org.cuminspur.store.TxnResult;

/** Store access that reports the result of each call to {@link StoreHealth}; thread-safe. */
final class MonitoredStore {
    private final Store store;
    private final StoreHealth health;

    MonitoredStore(Store store, StoreHealth health) {
        this.store = store;
        this.health = health;
    }

    void range(String prefix, Consumer<Either<StoreFault, StoreView>> onReply) {
        store.range(prefix, recordingHealth(onReply));
    }

    void commit(Txn txn, Consumer<Either<StoreFault, TxnResult>> onReply) {
        store.commit(txn, recordingHealth(onReply));
    }

    private <T> Consumer<Either<StoreFault, T>> recordingHealth(Consumer<Either<StoreFault, T>> onReply) {
        return result -> {
            health.recordResult(result.isRight());
            onReply.accept(result);
        };
    }
}
