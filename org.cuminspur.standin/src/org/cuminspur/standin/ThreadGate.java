package org.cuminspur.standin;

/**
 * Keeps threads waiting while it is on, so that a test can act at a known point.
 *
 * <p>Thread-safe.
 */
public final class ThreadGate {
    private boolean closed;

    /** Turns the hold on, or off for all that wait. */
    public synchronized void closed(boolean close) {
        closed = close;
        notifyAll();
    }

    /** Returns once the hold is off. */
    public synchronized void awaitOpen() {
        try {
            while (closed) {
                wait();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
