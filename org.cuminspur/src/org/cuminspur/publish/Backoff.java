package org.cuminspur.publish;

import java.util.random.RandomGenerator;
import org.cuminspur.time.Clock;
import org.cuminspur.time.Timer;

/**
 * Delays the retries of a publication at random, until its timeout.
 *
 * <p>Used by one publication, whose calls do not overlap. The window doubles with every conflict, so that with any
 * number of concurrent publishers about one attempt in a few succeeds and the store's request rate stays bounded.
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
     * Creates a backoff whose time starts now.
     *
     * @param timeoutMillis no attempt starts later than this from now
     */
    public Backoff(Clock clock, Timer timer, RandomGenerator random, long timeoutMillis) {
        this.clock = clock;
        this.timer = timer;
        this.random = random;
        this.deadlineMillis = clock.millis() + timeoutMillis;
    }

    /** Schedules {@code retry} after a concurrent write, or runs {@code onTimeout} if time is over. */
    void retryAfterConflict(Runnable retry, Runnable onTimeout) {
        long delay = 1 + random.nextLong(windowMillis);
        windowMillis = Math.min(MAX_WINDOW_MS, windowMillis * 2);
        schedule(delay, retry, onTimeout);
    }

    /** Schedules {@code retry} after a fault of the store, or runs {@code onTimeout} if time is over. */
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
