package org.cuminspur.standin;

/**
 * Blocks threads while it is closed, so that a test can act at a known point.
 *
 * <p>Thread-safe.
 */
public final class ThreadGate {
    private boolean closed;

    /** Closes the gate, or opens it and releases all waiting threads. */
    public synchronized void closed(boolean close) {
        closed = close;
        notifyAll();
    }

    /** Waits until the gate is open; returns early if the thread is interrupted. */
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
