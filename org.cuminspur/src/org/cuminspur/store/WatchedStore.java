package org.cuminspur.store;

import java.util.function.Consumer;

/** A store that tells of changes as they happen. */
public interface WatchedStore extends Store {
    /**
     * Watches keys that start with {@code prefix} for changes after a store revision.
     *
     * <p>{@code changes} receives the changed keys, deleted ones with an empty value; {@code ended} runs once,
     * when the watch has failed or was closed, or its era has ended. A failed watch may have missed changes: read again.
     */
    Watch watch(String prefix, StoreRevision afterRevision, Consumer<StoreView> changes, Runnable ended);

    /** A running watch; thread-safe. */
    @FunctionalInterface
    interface Watch {
        /** Ends the watch; may be called more than once. */
        void close();
    }
}
