package org.cuminspur.testing.once;

import io.vavr.control.Either;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.cuminspur.store.Store;
import org.cuminspur.store.StoreFault;
import org.cuminspur.store.StoreLease;
import org.cuminspur.store.StoreView;
import org.cuminspur.store.Txn;
import org.cuminspur.store.TxnResult;
import org.cuminspur.testing.SimulatedStore;
import org.cuminspur.testing.VirtualTime;

/**
 * One process's connection to a store, on which some writes take effect long after their timeout.
 *
 * <p>Not thread-safe.
 */
final class DelayedWriteStore implements Store {
    private static final long MIN_DELAY_MS = 500;
    private static final long MAX_DELAY_MS = 60_000;

    private final SimulatedStore store;
    private final VirtualTime time;
    private final RandomGenerator random;
    private final SimulatedProcess process;
    private double delayedShare;

    DelayedWriteStore(SimulatedStore store, VirtualTime time, RandomGenerator random, SimulatedProcess process) {
        this.store = store;
        this.time = time;
        this.random = random;
        this.process = process;
    }

    void delayedShare(double share) {
        delayedShare = share;
    }

    @Override
    public void range(String prefix, Consumer<Either<StoreFault, StoreView>> onReply) {
        store.range(prefix, toProcess(onReply));
    }

    @Override
    public void commit(Txn txn, Consumer<Either<StoreFault, TxnResult>> onReply) {
        if (random.nextDouble() < delayedShare) {
            time.schedule(
                    random.nextLong(MIN_DELAY_MS, MAX_DELAY_MS),
                    () -> store.table().commit(txn));
            time.schedule(
                    SimulatedStore.REPLY_TIMEOUT_MS, () -> toProcess(onReply).accept(Either.left(StoreFault.UNKNOWN)));
        } else {
            store.commit(txn, toProcess(onReply));
        }
    }

    @Override
    public void grantLease(long ttlSeconds, Consumer<Either<StoreFault, StoreLease>> onReply) {
        store.grantLease(ttlSeconds, toProcess(onReply));
    }

    @Override
    public void keepAlive(StoreLease lease, Consumer<Either<StoreFault, Long>> onReply) {
        store.keepAlive(lease, toProcess(onReply));
    }

    private <T> Consumer<Either<StoreFault, T>> toProcess(Consumer<Either<StoreFault, T>> onReply) {
        return result -> process.deliver(() -> onReply.accept(result));
    }
}
