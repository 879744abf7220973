package org.cuminspur.time;

/**
 * A clock in milliseconds.
 *
 * <p>Decisions read time only through this type, so that tests can run them in virtual time. Implementations
 * are thread-safe.
 */
@FunctionalInterface
public interface Clock {
    /** Returns milliseconds since the epoch; never goes back, unless it is a wall clock that was set back. */
    long millis();

    /** Returns a clock that starts at the system time and advances with its monotonic source. */
    static Clock system() {
        long startNanos = System.nanoTime();
        long startMillis = java.time.Clock.systemUTC().millis();
        return () -> startMillis + (System.nanoTime() - startNanos) / 1_000_000;
    }
}
