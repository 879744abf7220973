package org.cuminspur.traffic;

import static org.testng.Assert.assertEquals;

import io.vavr.control.Either;
import java.util.Random;
import java.util.function.Consumer;
import org.cuminspur.event.EventSink;
import org.cuminspur.store.Store;
import org.cuminspur.store.StoreFault;
import org.cuminspur.store.StoreLease;
import org.cuminspur.store.StoreView;
import org.cuminspur.store.Txn;
import org.cuminspur.store.TxnResult;
import org.cuminspur.testing.SimulatedStore;
import org.cuminspur.testing.VirtualTime;
import org.testng.annotations.Test;

/** Checks that an instance stays registered when a write that it gave up lands after all, in virtual time. */
public class InstanceRegistrationTest {
    private static final String KEY = "instance/a";
    private static final long GIVE_UP_MS = 600;

    /** Time after which the store runs a call that was given up. */
    private static final long LATE_MS = 3_000;

    private final VirtualTime time = new VirtualTime(1_000_000);
    private final SimulatedStore store = new SimulatedStore(time, new Random(1));

    /** Guards against a key that is bound to a lease which nobody renews. */
    @Test
    public void instanceStaysRegisteredIfAWriteLandsAfterItWasGivenUp() {
        new InstanceRegistration(new LateStore(), KEY, "milano", time::schedule, EventSink.NONE).start();
        for (int second = 0; second < 60; second++) {
            time.advance(1_000);
            store.table().expireLeases(time.nowMillis());
            if (second >= 2 * LATE_MS / 1_000) {
                assertEquals(store.table().range(KEY, "").entries().size(), 1, "second " + second);
            }
        }
    }

    /** Runs the first write late and does not answer it. */
    private final class LateStore implements Store {
        private boolean delayed;

        @Override
        public void range(String prefix, Consumer<Either<StoreFault, StoreView>> reply) {
            store.range(prefix, reply);
        }

        @Override
        public void commit(Txn txn, Consumer<Either<StoreFault, TxnResult>> reply) {
            if (delayed) {
                store.commit(txn, reply);
                return;
            }
            delayed = true;
            time.schedule(GIVE_UP_MS, () -> reply.accept(Either.left(StoreFault.UNKNOWN)));
            time.schedule(LATE_MS, () -> store.commit(txn, ignored -> {}));
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
}
