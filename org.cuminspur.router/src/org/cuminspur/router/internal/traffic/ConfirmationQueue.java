package org.cuminspur.router.internal.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.cuminspur.time.Clock;
import org.cuminspur.traffic.ViewFreshness;

/**
 * Holds requests whose key cannot be trusted yet until the view of the store is confirmed.
 *
 * <p>Not thread-safe; used on the traffic thread. A request waits for a few round trips to the store at most, and is
 * then refused because its key could not be confirmed.
 */
final class ConfirmationQueue {
    /** Longest wait; the store answers in milliseconds, and a caller may be served sooner by another instance. */
    static final long CONFIRM_WAIT_MS = 250;

    /** Longest wait of a request that arrives while the process starts; the store is read within half a second. */
    static final long START_WAIT_MS = 1_000;

    /** Share of the revocation bound within which a view is current; the rest covers the transfer to the upstream. */
    private static final double CURRENT_SHARE = 0.85;

    /**
     * Share of the revocation bound after which callers are sent to other instances. The load balancer notices within two
     * seconds, so that few callers are left once requests are refused; regular confirmations come before this limit.
     */
    private static final double NEARLY_STALE_SHARE = 0.6;

    private record Waiting(long untilMillis, Consumer<Boolean> callback) {}

    private final ViewFreshness freshness;
    private final Clock clock;
    private final long revokeMillis;
    private final Runnable requestConfirmation;
    private final BooleanSupplier storeUnavailable;
    private final Runnable scheduleFlush;
    private List<Waiting> queue = new ArrayList<>();

    /**
     * Creates an empty queue.
     *
     * @param requestConfirmation requests a confirmation; can be called on any thread
     * @param storeUnavailable returns whether no confirmation is to be expected; can be called on any thread
     * @param scheduleFlush schedules one call of {@link #flush}; called as long as requests wait
     */
    ConfirmationQueue(
            ViewFreshness freshness,
            Clock clock,
            long revokeMillis,
            Runnable requestConfirmation,
            BooleanSupplier storeUnavailable,
            Runnable scheduleFlush) {
        this.freshness = freshness;
        this.clock = clock;
        this.revokeMillis = revokeMillis;
        this.requestConfirmation = requestConfirmation;
        this.storeUnavailable = storeUnavailable;
        this.scheduleFlush = scheduleFlush;
    }

    /** Returns whether keys can be trusted now. */
    boolean current() {
        return freshness.ageMillis() < CURRENT_SHARE * revokeMillis;
    }

    /** Returns whether keys may soon become untrusted, so that callers should use other instances. */
    boolean nearlyStale() {
        return freshness.ageMillis() >= NEARLY_STALE_SHARE * revokeMillis;
    }

    /** Calls back with true once keys can be trusted, with false after the wait or if the store is unavailable. */
    void whenCurrent(long longestWaitMillis, Consumer<Boolean> callback) {
        if (storeUnavailable.getAsBoolean()) {
            callback.accept(false);
            return;
        }
        if (queue.isEmpty()) {
            scheduleFlush.run();
        }
        queue.add(new Waiting(clock.millis() + longestWaitMillis, callback));
        requestConfirmation.run();
    }

    /** Calls back all requests whose wait is over. */
    void flush() {
        if (queue.isEmpty()) {
            return;
        }
        boolean current = current();
        long now = clock.millis();
        List<Waiting> waiting = queue;
        queue = new ArrayList<>();
        waiting.forEach(entry -> {
            if (current || now >= entry.untilMillis() || storeUnavailable.getAsBoolean()) {
                entry.callback().accept(current);
            } else {
                queue.add(entry);
            }
        });
        if (!queue.isEmpty()) {
            scheduleFlush.run();
        }
    }
}
