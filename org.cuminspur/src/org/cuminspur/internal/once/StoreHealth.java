package org.cuminspur.internal.once;

import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.cuminspur.once.IdempotencyEvent;
import org.cuminspur.time.Clock;

/**
 * Tracks whether the store answers, so that requests are refused without waiting while it does not.
 *
 * <p>Thread-safe. Safety does not depend on it: a wrong state only refuses or delays requests.
 */
final class StoreHealth {
    private static final int DOWN_AFTER_FAULTS = 3;
    private static final long PROBE_INTERVAL_MS = 500;
    private static final long MIN_RETRY_AFTER_MS = 1_000;
    private static final long MAX_RETRY_AFTER_MS = 30_000;

    private final Clock clock;
    private final RandomGenerator random;
    private final Consumer<IdempotencyEvent> events;
    private int consecutiveFaults;
    private boolean down;
    private long downSinceMillis;
    private long nextProbeMillis;

    StoreHealth(Clock clock, RandomGenerator random, Consumer<IdempotencyEvent> events) {
        this.clock = clock;
        this.random = random;
        this.events = events;
    }

    /** Records the result of a call. */
    synchronized void recordResult(boolean answered) {
        consecutiveFaults = answered ? 0 : consecutiveFaults + 1;
        if (answered && down) {
            down = false;
            events.accept(IdempotencyEvent.STORE_UP);
        } else if (consecutiveFaults >= DOWN_AFTER_FAULTS && !down) {
            down = true;
            downSinceMillis = clock.millis();
            nextProbeMillis = downSinceMillis + PROBE_INTERVAL_MS;
            events.accept(IdempotencyEvent.STORE_DOWN);
        }
    }

    synchronized boolean down() {
        return down;
    }

    /** Returns whether a probe of a store that is down is due, and schedules the next one. */
    synchronized boolean probeDue() {
        if (!down || clock.millis() < nextProbeMillis) {
            return false;
        }
        nextProbeMillis = clock.millis() + PROBE_INTERVAL_MS;
        return true;
    }

    /** Returns the retry delay for callers, with jitter; it grows with the time that the store has been down. */
    synchronized long retryAfterMillis() {
        long downMillis = down ? clock.millis() - downSinceMillis : 0;
        long baseMillis = Math.max(MIN_RETRY_AFTER_MS, Math.min(MAX_RETRY_AFTER_MS, downMillis / 2));
        return baseMillis + random.nextLong(baseMillis / 2);
    }
}
