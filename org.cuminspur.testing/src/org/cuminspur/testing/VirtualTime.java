package org.cuminspur.testing;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;
import org.cuminspur.time.Clock;

/**
 * A discrete-event scheduler whose clock advances only from one scheduled event to the next.
 *
 * <p>Not thread-safe. Events at the same time run in the order they were scheduled, so runs are deterministic.
 */
public final class VirtualTime {
    private record Event(long atMillis, long sequence, Runnable action) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::sequence));
    private long nowMillis;
    private long sequence;

    /** Starts at {@code startMillis}, in milliseconds since the epoch. */
    public VirtualTime(long startMillis) {
        nowMillis = startMillis;
    }

    /** Returns a clock that reads the virtual time. */
    public Clock clock() {
        return () -> nowMillis;
    }

    /** Returns the virtual time in milliseconds since the epoch. */
    public long nowMillis() {
        return nowMillis;
    }

    /** Schedules an action after a delay in milliseconds; a negative delay counts as 0. */
    public void schedule(long delayMillis, Runnable action) {
        events.add(new Event(nowMillis + Math.max(0, delayMillis), sequence++, action));
    }

    /** Runs an action at every interval until it returns false. */
    public void scheduleRepeating(long intervalMillis, BooleanSupplier action) {
        schedule(intervalMillis, () -> {
            if (action.getAsBoolean()) {
                scheduleRepeating(intervalMillis, action);
            }
        });
    }

    /** Runs all events due within the next {@code millis} and leaves the clock at the end of that period. */
    public void advance(long millis) {
        long end = nowMillis + millis;
        while (!events.isEmpty() && events.peek().atMillis() <= end) {
            Event event = events.poll();
            nowMillis = event.atMillis();
            event.action().run();
        }
        nowMillis = end;
    }
}
