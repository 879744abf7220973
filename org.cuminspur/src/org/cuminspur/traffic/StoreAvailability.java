package org.cuminspur.traffic;

import java.util.function.LongConsumer;

/**
 * Knows whether the store answers, and tries failed calls again in one chain.
 *
 * <p>Used on the timer's thread, but for {@link #unavailable}. An entry that vanishes while the store is away, or within the
 * time that its owner has to come back, is kept until that time is over.
 */
final class StoreAvailability {
    /** First pause after a failed call, doubled up to the longest. */
    private static final long INITIAL_RETRY_MS = 200;

    private static final long MAX_RETRY_MS = 800;

    /** Silence beyond the time in which an answer is expected that counts as absence; entries lapse after 3 s or more. */
    private static final long UNAVAILABLE_AFTER_MS = 500;

    private final FleetWatcher.Context context;
    private final LongConsumer onReturn;
    private long expectedIntervalMillis;
    private long lastReplyMillis;
    private long lastReturnMillis = Long.MIN_VALUE;
    private long retryMillis = INITIAL_RETRY_MS;
    private boolean retryScheduled;
    private volatile boolean unavailable;

    /**
     * Makes one that has just heard of the store.
     *
     * @param expectedIntervalMillis time within which an answer is expected as long as the store is there
     * @param onReturn receives, at each return of the store, the time up to which lapsed entries may come back
     */
    StoreAvailability(FleetWatcher.Context context, long expectedIntervalMillis, LongConsumer onReturn) {
        this.context = context;
        this.expectedIntervalMillis = expectedIntervalMillis;
        this.onReturn = onReturn;
        this.lastReplyMillis = context.clock().millis();
    }

    /** Returns whether calls have failed for a while; may be called on any thread. */
    boolean unavailable() {
        return unavailable;
    }

    /** Sets the time within which an answer is expected as long as the store is there. */
    void setExpectedInterval(long millis) {
        expectedIntervalMillis = millis;
    }

    /** Notes an answer. */
    void recordReply() {
        long now = context.clock().millis();
        retryMillis = INITIAL_RETRY_MS;
        if (unavailable || overdue(now)) {
            lastReturnMillis = now;
            context.events().emit("dependency-regained", "dependency", "store", "silentMillis", now - lastReplyMillis);
            onReturn.accept(now + context.bounds().reregistrationGraceMillis());
        }
        unavailable = false;
        lastReplyMillis = now;
    }

    /** Notes a call that failed and makes it again after a pause, unless another one waits for its turn. */
    void recordFailureAndRetry(Runnable call) {
        long now = context.clock().millis();
        if (!unavailable && overdue(now)) {
            unavailable = true;
            context.events().emit("dependency-lost", "dependency", "store", "silentMillis", now - lastReplyMillis);
        }
        if (retryScheduled) {
            return;
        }
        retryScheduled = true;
        context.timer().schedule(retryMillis, () -> {
            retryScheduled = false;
            call.run();
        });
        retryMillis = Math.min(MAX_RETRY_MS, retryMillis * 2);
    }

    /** Returns until when an entry that vanishes now is kept. */
    long lapsedEntryExpiry(long now) {
        if (unavailable || overdue(now)) {
            return Long.MAX_VALUE;
        }
        long expiryMillis = lastReturnMillis == Long.MIN_VALUE
                ? now
                : lastReturnMillis + context.bounds().reregistrationGraceMillis();
        return Math.max(now, expiryMillis);
    }

    private boolean overdue(long now) {
        return now - lastReplyMillis > expectedIntervalMillis + UNAVAILABLE_AFTER_MS;
    }
}
