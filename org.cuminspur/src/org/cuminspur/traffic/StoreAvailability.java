package org.cuminspur.traffic;

import java.util.function.LongConsumer;

/**
 * Knows whether the store answers, and tries failed calls again in one chain.
 *
 * <p>Used on the timer's thread, but for {@link #away}. An entry that vanishes while the store is away, or within the
 * time that its owner has to come back, is kept until that time is over.
 */
final class StoreAvailability {
    /** First pause after a failed call, doubled up to the longest. */
    private static final long FIRST_RETRY_MS = 200;

    private static final long LONGEST_RETRY_MS = 800;

    /** Silence beyond the time in which an answer is expected that counts as absence; entries lapse after 3 s or more. */
    private static final long AWAY_AFTER_MS = 500;

    private final FleetWatcher.Context context;
    private final LongConsumer returned;
    private long expectedMillis;
    private long lastHeardMillis;
    private long returnedMillis = Long.MIN_VALUE;
    private long retryMillis = FIRST_RETRY_MS;
    private boolean retryPlanned;
    private volatile boolean away;

    /**
     * Makes one that has just heard of the store.
     *
     * @param expectedMillis time within which an answer is expected as long as the store is there
     * @param returned receives, at each return of the store, the time up to which lapsed entries may come back
     */
    StoreAvailability(FleetWatcher.Context context, long expectedMillis, LongConsumer returned) {
        this.context = context;
        this.expectedMillis = expectedMillis;
        this.returned = returned;
        this.lastHeardMillis = context.clock().millis();
    }

    /** Returns whether calls have failed for a while; may be called on any thread. */
    boolean unavailable() {
        return away;
    }

    /** Sets the time within which an answer is expected as long as the store is there. */
    void setExpectedInterval(long millis) {
        expectedMillis = millis;
    }

    /** Notes an answer. */
    void recordReply() {
        long now = context.clock().millis();
        retryMillis = FIRST_RETRY_MS;
        if (away || silent(now)) {
            returnedMillis = now;
            context.events().emit("dependency-regained", "dependency", "store", "silentMillis", now - lastHeardMillis);
            returned.accept(now + context.bounds().reregistrationGraceMillis());
        }
        away = false;
        lastHeardMillis = now;
    }

    /** Notes a call that failed and makes it again after a pause, unless another one waits for its turn. */
    void recordFailureAndRetry(Runnable again) {
        long now = context.clock().millis();
        if (!away && silent(now)) {
            away = true;
            context.events().emit("dependency-lost", "dependency", "store", "silentMillis", now - lastHeardMillis);
        }
        if (retryPlanned) {
            return;
        }
        retryPlanned = true;
        context.timer().schedule(retryMillis, () -> {
            retryPlanned = false;
            again.run();
        });
        retryMillis = Math.min(LONGEST_RETRY_MS, retryMillis * 2);
    }

    /** Returns until when an entry that vanishes now is kept. */
    long lapsedEntryExpiry(long now) {
        if (away || silent(now)) {
            return Long.MAX_VALUE;
        }
        long until = returnedMillis == Long.MIN_VALUE
                ? now
                : returnedMillis + context.bounds().reregistrationGraceMillis();
        return Math.max(now, until);
    }

    private boolean silent(long now) {
        return now - lastHeardMillis > expectedMillis + AWAY_AFTER_MS;
    }
}
