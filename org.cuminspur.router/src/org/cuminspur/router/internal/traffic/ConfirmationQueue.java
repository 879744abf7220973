package org.cuminspur.router.internal.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.cuminspur.time.Clock;
import org.cuminspur.traffic.ViewFreshness;

/**
 * Holds requests until the view of the store is confirmed: those whose key cannot be trusted yet, and those that depend on
 * what had happened in the store before they came.
 *
 * <p>Not thread-safe; used on the traffic thread. A request waits for a few round trips to the store at most.
 */
final class ConfirmationQueue {
    /** Longest wait; the store answers in milliseconds, and a caller may be served sooner by another instance. */
    static final long CONFIRM_WAIT_MS = 250;

    /**
     * Longest wait of a request that arrives while the process starts. The load balancer prefers instances that are ready,
     * so the others mostly start as well, and a caller that is refused has few tries left.
     */
    static final long START_WAIT_MS = 4_000;

    /** Longest wait for a read that starts after the request came: the pause between two, a read and a watch behind it. */
    static final long READ_WAIT_MS = 1_000;

    /** Share of the revocation bound within which a view is current; the rest covers the transfer to the upstream. */
    private static final double CURRENT_SHARE = 0.85;

    /**
     * Share of the revocation bound after which callers are sent to other instances. The load balancer notices within two
     * seconds, so that few callers are left once requests are refused; regular confirmations come before this limit.
     */
    private static final double NEARLY_STALE_SHARE = 0.6;

    private record Waiting(BooleanSupplier confirmed, long untilMillis, Consumer<Boolean> callback) {}

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
        await(this::current, longestWaitMillis, callback);
    }

    /**
     * Calls back with true once a read that started at a time or later has confirmed the view, with false after a wait or
     * if the store is unavailable.
     */
    void whenConfirmedSince(long steadyMillis, Consumer<Boolean> callback) {
        if (freshness.isConfirmedSince(steadyMillis)) {
            callback.accept(true);
        } else {
            await(() -> freshness.isConfirmedSince(steadyMillis), READ_WAIT_MS, callback);
        }
    }

    private void await(BooleanSupplier confirmed, long longestWaitMillis, Consumer<Boolean> callback) {
        if (storeUnavailable.getAsBoolean()) {
            callback.accept(false);
            return;
        }
        if (queue.isEmpty()) {
            scheduleFlush.run();
        }
        queue.add(new Waiting(confirmed, clock.millis() + longestWaitMillis, callback));
        requestConfirmation.run();
    }

    /** Calls back all requests whose wait is over. */
    void flush() {
        if (queue.isEmpty()) {
            return;
        }
        long now = clock.millis();
        Map<Boolean, List<Waiting>> waiting = queue.stream()
                .collect(Collectors.partitioningBy(entry -> entry.confirmed().getAsBoolean()
                        || now >= entry.untilMillis()
                        || storeUnavailable.getAsBoolean()));
        queue = new ArrayList<>(waiting.get(false));
        if (!queue.isEmpty()) {
            // The last request may have come too soon after an earlier confirmation.
            requestConfirmation.run();
            scheduleFlush.run();
        }
        waiting.get(true)
                .forEach(entry -> entry.callback().accept(entry.confirmed().getAsBoolean()));
    }
}
