package org.cuminspur.standin.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import org.cuminspur.time.Clock;

/** A number whose reads return the value of {@code lagMillis} ago; thread-safe. */
final class DelayedValue {
    private record Change(long atMillis, int value) {}

    private final Clock clock;
    private final long lagMillis;
    private final Deque<Change> changes = new ArrayDeque<>();

    DelayedValue(Clock clock, long lagMillis) {
        this.clock = clock;
        this.lagMillis = lagMillis;
        changes.add(new Change(Long.MIN_VALUE, 0));
    }

    synchronized void set(int value) {
        changes.add(new Change(clock.millis(), value));
        trim();
    }

    synchronized int value() {
        trim();
        return changes.getFirst().value();
    }

    private void trim() {
        long asOf = clock.millis() - lagMillis;
        while (changes.size() > 1 && second().atMillis() <= asOf) {
            changes.removeFirst();
        }
    }

    private Change second() {
        return changes.stream().skip(1).findFirst().orElseThrow();
    }
}
