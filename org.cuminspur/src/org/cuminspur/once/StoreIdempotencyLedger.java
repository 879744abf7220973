package org.cuminspur.once;

import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.cuminspur.internal.once.LedgerCore;
import org.cuminspur.store.Store;
import org.cuminspur.time.Clock;

/**
 * Keeps the records of actions in the platform's store, one record for each.
 *
 * <p>Thread-safe; has no threads of its own. A record is written by compare-and-swap before its action is sent. Safety
 * rests on the store's compare-and-swap alone: neither clocks nor leases nor the lives of routers guard it. While the
 * store does not answer, every new action is refused as not run.
 */
public final class StoreIdempotencyLedger implements IdempotencyLedger {
    /** The longest time between two calls of {@link #tick} that still keeps up with the fleet. */
    public static final long TICK_INTERVAL_MS = 100;

    private final LedgerCore core;

    /**
     * Prepares a ledger; no call is made yet.
     *
     * @param owner name of this router, for the people who read the records
     * @param random draws attempt ids, so its seed must differ between processes
     * @param events takes what is to be counted, on any thread
     */
    public StoreIdempotencyLedger(
            IdempotencySettings settings,
            String owner,
            Store store,
            Clock clock,
            RandomGenerator random,
            Consumer<IdempotencyEvent> events) {
        core = new LedgerCore(settings, owner, store, clock, random, events);
    }

    @Override
    public void tryClaim(ActionId action, String fingerprint, long deadlineMillis, Consumer<Decision> reply) {
        core.tryClaim(action, fingerprint, deadlineMillis, reply);
    }

    @Override
    public void recordOutcome(Claim claim, Outcome outcome, Runnable tried) {
        core.recordOutcome(claim, outcome, tried);
    }

    /** Goes on with what has to be tried again or done from time to time; call it every {@link #TICK_INTERVAL_MS}. */
    public void tick() {
        core.tick();
    }

    /** Returns whether nothing is left to write; a router that stops waits for it. */
    public boolean idle() {
        return core.idle();
    }
}
