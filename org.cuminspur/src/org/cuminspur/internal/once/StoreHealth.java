package org.cuminspur.internal.once;

import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.cuminspur.once.IdempotencyEvent;
import org.cuminspur.time.Clock;

/**
 * Tells whether the store answers, so that requests need not wait to learn that it does not.
 *
 * <p>Thread-safe. It guards no safety: a wrong verdict only refuses or delays a request.
 */
final class StoreHealth {
    private static final int DOWN_AFTER_FAULTS = 3;
    private static final long PROBE_INTERVAL_MS = 500;
    private static final long MIN_RETRY_AFTER_MS = 1_000;
    private static final long MAX_RETRY_AFTER_MS = 30_000;

    private final Clock clock;
    private final RandomGenerator random;
    private final Consumer<IdempotencyEvent> events;
    private int faults;
    private boolean down;
    private long downSince;
    private long nextProbe;

    StoreHealth(Clock clock, RandomGenerator random, Consumer<IdempotencyEvent> events) {
        this.clock = clock;
        this.random = random;
        this.events = events;
    }

    /** Takes the result of a call. */
    synchronized void called(boolean answered) {
        faults = answered ? 0 : faults + 1;
        if (answered && down) {
            down = false;
            events.accept(IdempotencyEvent.STORE_UP);
        } else if (faults >= DOWN_AFTER_FAULTS && !down) {
            down = true;
            downSince = clock.millis();
            nextProbe = downSince + PROBE_INTERVAL_MS;
            events.accept(IdempotencyEvent.STORE_DOWN);
        }
    }

    synchronized boolean down() {
        return down;
    }

    /** Returns whether it is time to try the store again. */
    synchronized boolean probeDue() {
        if (!down || clock.millis() < nextProbe) {
            return false;
        }
        nextProbe = clock.millis() + PROBE_INTERVAL_MS;
        return true;
    }

    /** Returns when a caller may come back: later the longer the store is down, and spread. */
    synchronized long retryAfterMillis() {
        long downFor = down ? clock.millis() - downSince : 0;
        long base = Math.max(MIN_RETRY_AFTER_MS, Math.min(MAX_RETRY_AFTER_MS, downFor / 2));
        return base + random.nextLong(base / 2);
    }
}
