package org.cuminspur.time;

/**
 * Runs actions later.
 *
 * <p>Decisions wait only through this type, so that tests can drive them under virtual time. Implementations are
 * thread-safe.
 */
@FunctionalInterface
public interface Timer {
    /** Runs an action once after a delay in milliseconds. */
    void schedule(long delayMillis, Runnable action);
}
