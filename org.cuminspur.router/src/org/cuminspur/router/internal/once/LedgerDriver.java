package org.cuminspur.router.internal.once;

import com.codahale.metrics.MetricRegistry;
import java.security.SecureRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGeneratorFactory;
import org.cuminspur.id.InstanceId;
import org.cuminspur.once.IdempotencyEvent;
import org.cuminspur.once.IdempotencyLedger;
import org.cuminspur.once.IdempotencySettings;
import org.cuminspur.once.StoreIdempotencyLedger;
import org.cuminspur.store.Store;
import org.cuminspur.time.Clock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs an idempotency ledger on the platform's store: calls its periodic tick, counts its events and logs when the store
 * becomes unavailable or available.
 *
 * <p>Thread-safe.
 */
public final class LedgerDriver implements AutoCloseable {
    private static final Logger log = LoggerFactory.getLogger("org.cuminspur.state");
    private static final long STOP_TIMEOUT_MS = 2_000;

    private final StoreIdempotencyLedger ledger;
    private final MetricRegistry metrics;
    private final ScheduledExecutorService executor =
            Executors.newSingleThreadScheduledExecutor(LedgerDriver::daemonThread);
    private final CountDownLatch drained = new CountDownLatch(1);
    private volatile boolean stopping;

    public LedgerDriver(
            IdempotencySettings settings, InstanceId owner, Store store, Clock clock, MetricRegistry metrics) {
        this.metrics = metrics;
        ledger = new StoreIdempotencyLedger(
                settings,
                owner.value(),
                store,
                clock,
                RandomGeneratorFactory.of("L64X128MixRandom").create(new SecureRandom().nextLong()),
                this::onEvent);
    }

    public IdempotencyLedger ledger() {
        return ledger;
    }

    /** Starts the periodic tick. */
    public void start() {
        executor.scheduleWithFixedDelay(this::tick, 0, StoreIdempotencyLedger.TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Waits for pending writes, at most the stop timeout, then stops; call it when no request is in progress. */
    @Override
    public void close() {
        stopping = true;
        try {
            if (!drained.await(STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
                log.warn("event=once-ends-lost");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        executor.shutdownNow();
    }

    private void tick() {
        try {
            ledger.tick();
        } catch (RuntimeException e) {
            log.error("event=once-tick-failed", e);
        }
        if (stopping && ledger.idle()) {
            drained.countDown();
        }
    }

    private void onEvent(IdempotencyEvent event) {
        metrics.counter("once." + event.label()).inc();
        if (event == IdempotencyEvent.STORE_DOWN || event == IdempotencyEvent.STORE_UP) {
            log.info("event=once-{}", event.label());
        }
    }

    private static Thread daemonThread(Runnable task) {
        Thread thread = new Thread(task, "once");
        thread.setDaemon(true);
        return thread;
    }
}
