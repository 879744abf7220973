package org.cuminspur.time;

/**
 * Tells the time in milliseconds.
 *
 * <p>Decisions read time only through this type, so that tests can drive them under virtual time. Implementations
 * are thread-safe.
 */
@FunctionalInterface
public interface Clock {
    /** Returns milliseconds since the epoch; never goes back within one process. */
    long millis();

    /** Returns a clock that starts at the system's time and follows its monotonic source. */
    static Clock system() {
        long startNanos = System.nanoTime();
        long startMillis = java.time.Clock.systemUTC().millis();
        return () -> startMillis + (System.nanoTime() - startNanos) / 1_000_000;
    }
}
