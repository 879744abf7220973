package org.cuminspur.router.internal.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.cuminspur.time.Clock;
import org.cuminspur.traffic.ViewFreshness;

/**
 * Holds requests whose key cannot be trusted until the view of the store is confirmed.
 *
 * <p>Not thread-safe; used on the traffic thread. A request waits for a few round trips to the store at most, and is
 * then told that its key could not be confirmed.
 */
final class ConfirmationQueue {
    /** Longest wait; the store answers in milliseconds, and a caller may do better at another instance. */
    static final long CONFIRM_WAIT_MS = 250;

    /** Longest wait of a request that comes while the process starts, which reads the store within half a second. */
    static final long START_WAIT_MS = 1_000;

    /** Part of the bound within which a view counts as current; the rest covers the way to the upstream. */
    private static final double USED = 0.85;

    /**
     * Part of the bound after which callers are sent to other instances. The balancer notices within two seconds, so
     * that few callers are left here soon after requests are refused; regular confirmations come before it.
     */
    private static final double DOUBTFUL = 0.6;

    private record Waiting(long untilMillis, Consumer<Boolean> then) {}

    private final ViewFreshness freshness;
    private final Clock clock;
    private final long revokeMillis;
    private final Runnable confirmSoon;
    private final BooleanSupplier storeAway;
    private final Runnable flushSoon;
    private List<Waiting> queue = new ArrayList<>();

    /**
     * Makes an empty queue.
     *
     * @param confirmSoon asks for a confirmation; may be called on any thread
     * @param storeAway tells that none is to be expected; may be called on any thread
     * @param flushSoon has {@link #flush} called once, soon; is called as long as something waits
     */
    ConfirmationQueue(
            ViewFreshness freshness,
            Clock clock,
            long revokeMillis,
            Runnable confirmSoon,
            BooleanSupplier storeAway,
            Runnable flushSoon) {
        this.freshness = freshness;
        this.clock = clock;
        this.revokeMillis = revokeMillis;
        this.confirmSoon = confirmSoon;
        this.storeAway = storeAway;
        this.flushSoon = flushSoon;
    }

    /** Returns whether keys can be trusted now. */
    boolean current() {
        return freshness.ageMillis() < USED * revokeMillis;
    }

    /** Returns whether keys may soon not be trusted any more, so that callers are better off elsewhere. */
    boolean doubtful() {
        return freshness.ageMillis() >= DOUBTFUL * revokeMillis;
    }

    /** Calls back once keys can be trusted, or in vain after a time; at once if the store is away. */
    void whenCurrent(long longestWaitMillis, Consumer<Boolean> then) {
        if (storeAway.getAsBoolean()) {
            then.accept(false);
            return;
        }
        if (queue.isEmpty()) {
            flushSoon.run();
        }
        queue.add(new Waiting(clock.millis() + longestWaitMillis, then));
        confirmSoon.run();
    }

    /** Calls back all that need not wait longer. */
    void flush() {
        if (queue.isEmpty()) {
            return;
        }
        boolean current = current();
        long now = clock.millis();
        List<Waiting> before = queue;
        queue = new ArrayList<>();
        before.forEach(one -> {
            if (current || now >= one.untilMillis() || storeAway.getAsBoolean()) {
                one.then().accept(current);
            } else {
                queue.add(one);
            }
        });
        if (!queue.isEmpty()) {
            flushSoon.run();
        }
    }
}
