package org.cuminspur.standin;

/**
 * Keeps threads waiting while it is on, so that a test can act at a known point.
 *
 * <p>Thread-safe.
 */
public final class Hold {
    private boolean on;

    /** Turns the hold on, or off for all that wait. */
    public synchronized void on(boolean wanted) {
        on = wanted;
        notifyAll();
    }

    /** Returns once the hold is off. */
    public synchronized void pass() {
        try {
            while (on) {
                wait();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
