package org.cuminspur.event;

/**
 * Takes the events that explain what a process decided and why.
 *
 * <p>Implementations are thread-safe, never block, and may drop events under load if they count them.
 */
@FunctionalInterface
public interface EventSink {
    /** Drops all events. */
    EventSink NONE = (event, fields) -> {};

    /**
     * Takes an event.
     *
     * @param event what happened, such as {@code config-applied}
     * @param fields names and values by turns; values are numbers, booleans or texts
     */
    void emit(String event, Object... fields);
}
