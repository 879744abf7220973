package org.cuminspur.testing.once;

import java.util.ArrayDeque;
import java.util.Queue;

/**
 * What reaches one process: at once, after it wakes, or never.
 *
 * <p>Used by one thread. What the process has already handed to others goes on without it.
 */
public final class Gate {
    private final Queue<Runnable> heldBack = new ArrayDeque<>();
    private boolean alive = true;
    private boolean frozen;
    private int steps;
    private int faultStep;
    private Runnable fault = () -> {};

    /** Sets a fault that strikes right before the process takes its {@code step}th message from now. */
    public void faultBefore(int step, Runnable action) {
        faultStep = steps + step;
        fault = action;
    }

    /** Hands a message to the process. */
    public void deliver(Runnable message) {
        steps++;
        if (steps == faultStep) {
            fault.run();
        }
        pass(message);
    }

    /** Hands a message to the process that counts for no step. */
    public void pass(Runnable message) {
        if (alive && frozen) {
            heldBack.add(message);
        } else if (alive) {
            message.run();
        }
    }

    /** Ends the process. */
    public void kill() {
        alive = false;
        heldBack.clear();
    }

    /** Stops the process until {@link #wake}. */
    public void freeze() {
        frozen = true;
    }

    /** Lets the process go on with the messages that came meanwhile. */
    public void wake() {
        frozen = false;
        while (!frozen && !heldBack.isEmpty()) {
            heldBack.remove().run();
        }
    }

    public boolean alive() {
        return alive;
    }

    public boolean frozen() {
        return frozen;
    }
}
