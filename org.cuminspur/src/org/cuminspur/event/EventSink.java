package org.cuminspur.event;

/**
 * Receives the log events that explain what a process decided and why.
 *
 * <p>Implementations are thread-safe, never block, and may drop events under load if they count them.
 */
@FunctionalInterface
public interface EventSink {
    /** Discards all events. */
    EventSink NONE = (event, fields) -> {};

    /**
     * Records an event.
     *
     * @param event what happened, such as {@code config-applied}
     * @param fields alternating names and values; values are numbers, booleans or strings
     */
    void emit(String event, Object... fields);
}
