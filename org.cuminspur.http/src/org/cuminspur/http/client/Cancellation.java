package org.cuminspur.http.client;

import java.util.ArrayList;
import java.util.List;

/**
 * Cancels a call from another thread.
 *
 * <p>Thread-safe. Each action runs once: when the call is cancelled, or at once if it already was.
 */
public final class Cancellation {
    private final List<Runnable> actions = new ArrayList<>();
    private boolean cancelled;

    /** Cancels the call and runs the registered actions; further calls do nothing. */
    public void cancel() {
        List<Runnable> pending;
        synchronized (this) {
            cancelled = true;
            pending = List.copyOf(actions);
            actions.clear();
        }
        pending.forEach(Runnable::run);
    }

    /** Returns whether the call was cancelled. */
    public synchronized boolean cancelled() {
        return cancelled;
    }

    /** Registers an action that ends the call. */
    public void onCancel(Runnable action) {
        synchronized (this) {
            if (!cancelled) {
                actions.add(action);
                return;
            }
        }
        action.run();
    }
}
