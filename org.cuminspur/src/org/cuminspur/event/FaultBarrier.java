package org.cuminspur.event;

/**
 * Runs actions so that an unexpected failure costs that action only, and a log event, but never the loop around it. An action
 * for which there is no memory fails like any other: what it held is free once it has.
 *
 * <p>Immutable and thread-safe.
 */
public final class FaultBarrier {
    private final EventSink events;
    private final String event;

    /**
     * Creates a barrier.
     *
     * @param event name of the event that a failure is logged as
     */
    public FaultBarrier(EventSink events, String event) {
        this.events = events;
        this.event = event;
    }

    /** Runs an action; returns false if it failed. */
    public boolean run(Runnable action) {
        try {
            action.run();
            return true;
        } catch (RuntimeException | StackOverflowError | OutOfMemoryError e) {
            report(e);
            return false;
        }
    }

    private void report(Throwable failure) {
        try {
            events.emit(event, "error", describe(failure));
        } catch (OutOfMemoryError e) {
            // There is no memory for a line either; the loop around the action must go on all the same.
            return;
        }
    }

    /** Returns an action that never fails. */
    public Runnable guard(Runnable action) {
        return () -> run(action);
    }

    /** Returns the failure with the place where it occurred. */
    private static String describe(Throwable failure) {
        StackTraceElement[] trace = failure.getStackTrace();
        return failure + (trace.length == 0 ? "" : " at " + trace[0]);
    }
}
