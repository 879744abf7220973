package org.cuminspur.http.client;

import java.util.ArrayList;
import java.util.List;

/**
 * Lets another thread end a call that is no longer wanted.
 *
 * <p>Thread-safe. Each action runs once: when the call is cancelled, or at once if it already was.
 */
public final class Cancellation {
    private final List<Runnable> actions = new ArrayList<>();
    private boolean cancelled;

    /** Ends the call; further calls do nothing. */
    public void cancel() {
        List<Runnable> due;
        synchronized (this) {
            cancelled = true;
            due = List.copyOf(actions);
            actions.clear();
        }
        due.forEach(Runnable::run);
    }

    /** Returns whether the call was cancelled. */
    public synchronized boolean cancelled() {
        return cancelled;
    }

    /** Registers what ends the call. */
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
