package org.cuminspur.control;

/**
 * A part of the control logic that handles inputs and runs once per tick.
 *
 * <p>Systems share state only through {@link ControlState} and what is derived from it. They run on the control thread
 * only, and never block.
 */
public interface ControlSystem {
    /** Registers handlers for the inputs that the system needs. */
    default void register(InputHandlers handlers) {}

    /** Runs once over the control state. */
    void tick(ControlStep step);
}
