package org.cuminspur.time;

/**
 * Schedules actions.
 *
 * <p>Decisions wait only through this type, so that tests can run them in virtual time. Implementations are
 * thread-safe.
 */
@FunctionalInterface
public interface Timer {
    /** Schedules an action to run once after a delay in milliseconds. */
    void schedule(long delayMillis, Runnable action);
}
