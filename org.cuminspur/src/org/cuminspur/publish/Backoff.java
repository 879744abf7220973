package org.cuminspur.publish;

import java.util.random.RandomGenerator;
import org.cuminspur.time.Clock;
import org.cuminspur.time.Timer;

/**
 * Spaces the tries of racing publishers.
 *
 * <p>Used by one publication, whose calls do not overlap. The window doubles with every lost race, so that however
 * many publishers race, about one try in a few succeeds and the store's rates hold.
 */
public final class Backoff {
    private static final long FIRST_WINDOW_MS = 20;
    private static final long MAX_WINDOW_MS = 5_000;
    private static final long FAULT_WINDOW_MS = 1_000;

    private final Clock clock;
    private final Timer timer;
    private final RandomGenerator random;
    private final long deadlineMillis;
    private long windowMillis = FIRST_WINDOW_MS;

    /**
     * Starts to count time.
     *
     * @param timeoutMillis no try starts later than this from now
     */
    public Backoff(Clock clock, Timer timer, RandomGenerator random, long timeoutMillis) {
        this.clock = clock;
        this.timer = timer;
        this.random = random;
        this.deadlineMillis = clock.millis() + timeoutMillis;
    }

    /** Runs {@code next} after a lost race, or {@code late} at once if time is over. */
    void retryAfterConflict(Runnable retry, Runnable onTimeout) {
        long delay = 1 + random.nextLong(windowMillis);
        windowMillis = Math.min(MAX_WINDOW_MS, windowMillis * 2);
        schedule(delay, retry, onTimeout);
    }

    /** Runs {@code next} after a fault of the store, or {@code late} at once if time is over. */
    void retryAfterFault(Runnable retry, Runnable onTimeout) {
        schedule(FAULT_WINDOW_MS / 2 + random.nextLong(FAULT_WINDOW_MS / 2), retry, onTimeout);
    }

    private void schedule(long delayMillis, Runnable retry, Runnable onTimeout) {
        if (clock.millis() + delayMillis >= deadlineMillis) {
            onTimeout.run();
        } else {
            timer.schedule(delayMillis, retry);
        }
    }
}
