package org.cuminspur.traffic;

import java.util.function.Function;
import org.cuminspur.id.InstanceId;
import org.cuminspur.store.Store;
import org.cuminspur.store.StoreFault;
import org.cuminspur.store.StoreRevision;
import org.cuminspur.store.Txn;

/**
 * Tells instances that start later, under a key of the store, that an era is settled.
 *
 * <p>Confined to the timer thread. One instance writes; if it does not, the others try one after another.
 */
final class EraStatement {
    /** Delay for each preceding instance; longer than a write takes to be seen. */
    private static final long DELAY_PER_INSTANCE_MS = 1_500;

    private final Store store;
    private final InstanceId self;
    private final EraSettlement settlement;
    private final Function<String, StoreRevision> modRevision;
    private final FleetWatcher.Context context;

    /**
     * Creates a statement that is not made yet.
     *
     * @param modRevision returns the revision that last wrote a key
     */
    EraStatement(
            Store store,
            InstanceId self,
            EraSettlement settlement,
            Function<String, StoreRevision> modRevision,
            FleetWatcher.Context context) {
        this.store = store;
        this.self = self;
        this.settlement = settlement;
        this.modRevision = modRevision;
        this.context = context;
    }

    /** Makes the statement unless one of the instances that precede this one does. */
    void schedule(FleetView view) {
        context.timer().schedule(view.precedingInstances(self) * DELAY_PER_INSTANCE_MS, this::write);
    }

    private void write() {
        if (!settlement.settled() || settlement.isStated()) {
            return;
        }
        StoreRevision known = modRevision.apply(EraSettlement.KEY);
        StoreRevision expected = known.era() == settlement.era() ? known : StoreRevision.NONE;
        Txn txn = Txn.compareAndSwap(EraSettlement.KEY, expected, Long.toString(settlement.era()));
        store.commit(
                txn,
                reply -> context.events()
                        .emit(
                                "store-era-stated",
                                "era",
                                settlement.era(),
                                "outcome",
                                reply.fold(StoreFault::name, result -> result.succeeded() ? "done" : "overtaken")));
    }
}
