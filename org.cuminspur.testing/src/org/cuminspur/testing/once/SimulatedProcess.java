package org.cuminspur.testing.once;

import java.util.ArrayDeque;
import java.util.Queue;

/**
 * Delivers messages to a simulated process that can be paused, resumed and killed.
 *
 * <p>Not thread-safe. What the process has already passed to others continues without it.
 */
public final class SimulatedProcess {
    private final Queue<Runnable> queued = new ArrayDeque<>();
    private boolean alive = true;
    private boolean paused;
    private int deliveries;
    private int faultDelivery;
    private Runnable fault = () -> {};

    /** Schedules a fault right before the {@code delivery}th message from now. */
    public void scheduleFaultBefore(int delivery, Runnable action) {
        faultDelivery = deliveries + delivery;
        fault = action;
    }

    /** Delivers a message to the process. */
    public void deliver(Runnable message) {
        deliveries++;
        if (deliveries == faultDelivery) {
            fault.run();
        }
        deliverUncounted(message);
    }

    /** Delivers a message that does not count towards the next fault. */
    public void deliverUncounted(Runnable message) {
        if (alive && paused) {
            queued.add(message);
        } else if (alive) {
            message.run();
        }
    }

    /** Kills the process and drops its queued messages. */
    public void kill() {
        alive = false;
        queued.clear();
    }

    /** Pauses the process until {@link #resume}. */
    public void pause() {
        paused = true;
    }

    /** Resumes the process and delivers the queued messages. */
    public void resume() {
        paused = false;
        while (!paused && !queued.isEmpty()) {
            queued.remove().run();
        }
    }

    public boolean alive() {
        return alive;
    }

    public boolean paused() {
        return paused;
    }
}
