package org.cuminspur.testing;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;
import org.cuminspur.time.Clock;

/**
 * Time that moves only from one scheduled event to the next.
 *
 * <p>Used by one thread. Events at the same time run in the order they were scheduled, so a run depends on nothing but
 * what was scheduled.
 */
public final class VirtualTime {
    private record Event(long atMillis, long sequence, Runnable action) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::sequence));
    private long nowMillis;
    private long sequence;

    /** Starts at a time in milliseconds since the epoch. */
    public VirtualTime(long startMillis) {
        nowMillis = startMillis;
    }

    /** Returns the clock that shows this time. */
    public Clock clock() {
        return () -> nowMillis;
    }

    /** Returns the time in milliseconds. */
    public long nowMillis() {
        return nowMillis;
    }

    /** Schedules an action after a delay in milliseconds. */
    public void schedule(long delayMillis, Runnable action) {
        events.add(new Event(nowMillis + Math.max(0, delayMillis), sequence++, action));
    }

    /** Schedules an action at every interval, for as long as it returns true. */
    public void scheduleRepeating(long intervalMillis, BooleanSupplier action) {
        schedule(intervalMillis, () -> {
            if (action.getAsBoolean()) {
                scheduleRepeating(intervalMillis, action);
            }
        });
    }

    /** Runs all events of the next {@code millis}, then stands at their end. */
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
