package org.cuminspur.traffic;

import java.util.function.LongConsumer;

/**
 * Tracks whether the store answers, and retries failed calls one at a time.
 *
 * <p>Confined to the timer thread, except {@link #unavailable}. An entry that vanishes while the store is unavailable,
 * or within the grace period after its return, is kept until that period is over.
 */
final class StoreAvailability {
    /** Delay of the first retry, doubled on each failure up to the maximum. */
    private static final long INITIAL_RETRY_MS = 200;

    private static final long MAX_RETRY_MS = 800;

    /** Allowed delay of a reply past the expected interval; shorter than the 3 s or more after which entries lapse. */
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
     * Creates a tracker that counts the present as the time of the last reply.
     *
     * @param expectedIntervalMillis interval within which an available store replies
     * @param onReturn receives, at each return of the store, the time when the grace period of lapsed entries ends
     */
    StoreAvailability(FleetWatcher.Context context, long expectedIntervalMillis, LongConsumer onReturn) {
        this.context = context;
        this.expectedIntervalMillis = expectedIntervalMillis;
        this.onReturn = onReturn;
        this.lastReplyMillis = context.clock().millis();
    }

    /** Returns whether the store is unavailable; may be called on any thread. */
    boolean unavailable() {
        return unavailable;
    }

    /** Sets the interval within which an available store replies. */
    void setExpectedInterval(long millis) {
        expectedIntervalMillis = millis;
    }

    /**
     * Records a reply.
     *
     * <p>The time that its call took is no silence: a reply with a large configuration takes seconds on a slow link, and in an
     * outage the call would have failed.
     *
     * @param callStartMillis when the call was made
     */
    void recordReply(long callStartMillis) {
        long now = context.clock().millis();
        retryMillis = INITIAL_RETRY_MS;
        if (unavailable || overdue(callStartMillis)) {
            lastReturnMillis = now;
            context.events().emit("dependency-regained", "dependency", "store", "silentMillis", now - lastReplyMillis);
            onReturn.accept(now + context.bounds().reregistrationGraceMillis());
        }
        unavailable = false;
        lastReplyMillis = now;
    }

    /** Records that the store came back from a copy; it may have lost entries of upstreams that run. */
    void recordRestored() {
        lastReturnMillis = context.clock().millis();
        onReturn.accept(lastReturnMillis + context.bounds().reregistrationGraceMillis());
    }

    /** Records a failed call and retries it after a delay, unless another retry is already scheduled. */
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

    /** Returns the time until which an entry that vanishes now is kept. */
    long lapsedEntryExpiry(long now) {
        if (unavailable || overdue(now)) {
            return Long.MAX_VALUE;
        }
        long expiryMillis = lastReturnMillis == Long.MIN_VALUE
                ? now
                : lastReturnMillis + context.bounds().reregistrationGraceMillis();
        return Math.max(now, expiryMillis);
    }

    private boolean overdue(long millis) {
        return millis - lastReplyMillis > expectedIntervalMillis + UNAVAILABLE_AFTER_MS;
    }
}
