package org.cuminspur.control;

/**
 * A part of the control logic that runs over the tables once a tick.
 *
 * <p>Systems share state only through {@link ControlState}. They run on the control thread only, and never wait.
 */
public interface ControlSystem {
    /** Subscribes to the inputs that the system acts on. */
    default void register(InputHandlers handlers) {}

    /** Runs over the tables. */
    void tick(ControlStep step);
}
