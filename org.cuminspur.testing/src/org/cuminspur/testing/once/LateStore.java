package org.cuminspur.testing.once;

import io.vavr.control.Either;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.cuminspur.store.Store;
import org.cuminspur.store.StoreFault;
import org.cuminspur.store.StoreView;
import org.cuminspur.store.Txn;
import org.cuminspur.store.TxnResult;
import org.cuminspur.testing.MemoryStore;
import org.cuminspur.testing.VirtualTime;

/**
 * One process's way to a store, on which some writes take effect long after they were given up.
 *
 * <p>Used by one thread.
 */
final class LateStore implements Store {
    private static final long MIN_LATE_MS = 500;
    private static final long MAX_LATE_MS = 60_000;

    private final MemoryStore store;
    private final VirtualTime time;
    private final RandomGenerator random;
    private final Gate gate;
    private double lateShare;

    LateStore(MemoryStore store, VirtualTime time, RandomGenerator random, Gate gate) {
        this.store = store;
        this.time = time;
        this.random = random;
        this.gate = gate;
    }

    void lateShare(double share) {
        lateShare = share;
    }

    @Override
    public void range(String prefix, Consumer<Either<StoreFault, StoreView>> reply) {
        store.range(prefix, gated(reply));
    }

    @Override
    public void commit(Txn txn, Consumer<Either<StoreFault, TxnResult>> reply) {
        if (random.nextDouble() < lateShare) {
            time.after(
                    random.nextLong(MIN_LATE_MS, MAX_LATE_MS),
                    () -> store.table().commit(txn));
            time.after(MemoryStore.TIMEOUT_MS, () -> gated(reply).accept(Either.left(StoreFault.UNKNOWN)));
        } else {
            store.commit(txn, gated(reply));
        }
    }

    @Override
    public Watch watch(String prefix, long afterRevision, Consumer<StoreView> changes, Runnable ended) {
        return store.watch(prefix, afterRevision, view -> gate.deliver(() -> changes.accept(view)), ended);
    }

    @Override
    public void grantLease(long ttlSeconds, Consumer<Either<StoreFault, Long>> reply) {
        store.grantLease(ttlSeconds, gated(reply));
    }

    @Override
    public void keepAlive(long lease, Consumer<Either<StoreFault, Long>> reply) {
        store.keepAlive(lease, gated(reply));
    }

    private <T> Consumer<Either<StoreFault, T>> gated(Consumer<Either<StoreFault, T>> reply) {
        return result -> gate.deliver(() -> reply.accept(result));
    }
}
