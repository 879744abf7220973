package org.cuminspur.once;

import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.cuminspur.internal.once.ClaimCoordinator;
import org.cuminspur.store.Store;
import org.cuminspur.time.Clock;

/**
 * An idempotency ledger that keeps one record per action in the platform's store.
 *
 * <p>Thread-safe; has no threads of its own. A record is written by compare-and-swap before its action is sent. Safety
 * depends on the store's compare-and-swap alone, not on clocks, leases or whether routers stay alive. While the store
 * is unavailable, every new action is refused as not run.
 */
public final class StoreIdempotencyLedger implements IdempotencyLedger {
    /** Longest interval between calls of {@link #tick} that keeps up with the fleet. */
    public static final long TICK_INTERVAL_MS = 100;

    private final ClaimCoordinator coordinator;

    /**
     * Creates a ledger; makes no call to the store.
     *
     * @param instanceName name of this router, which makes attempt ids readable to operators
     * @param random generates attempt ids, so its seed must differ between processes
     * @param events receives events on any thread
     */
    public StoreIdempotencyLedger(
            IdempotencySettings settings,
            String instanceName,
            Store store,
            Clock clock,
            RandomGenerator random,
            Consumer<IdempotencyEvent> events) {
        coordinator = new ClaimCoordinator(settings, instanceName, store, clock, random, events);
    }

    @Override
    public void tryClaim(ActionId action, String fingerprint, long deadlineMillis, Consumer<Decision> onDecision) {
        coordinator.tryClaim(action, fingerprint, deadlineMillis, onDecision);
    }

    @Override
    public void recordOutcome(Claim claim, Outcome outcome, Runnable onRecordAttempted) {
        coordinator.recordOutcome(claim, outcome, onRecordAttempted);
    }

    /** Runs retries and periodic work; must be called every {@link #TICK_INTERVAL_MS}. */
    public void tick() {
        coordinator.tick();
    }

    /** Returns whether no claim or write is pending; a router waits for this before it stops. */
    public boolean idle() {
        return coordinator.idle();
    }
}
