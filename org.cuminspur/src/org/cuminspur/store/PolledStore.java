package org.cuminspur.store;

import io.vavr.control.Either;
import java.util.function.Consumer;

/** A store that is asked for its changes. */
public interface PolledStore extends Store {
    /**
     * Reads the changes after a store revision of the keys that start with {@code prefix}.
     *
     * <p>The reply states the store's revision at a moment of the call, also if it lacks changes up to it.
     */
    void changes(String prefix, StoreRevision afterRevision, Consumer<Either<StoreFault, StoreChanges>> reply);
}
