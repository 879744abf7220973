package org.cuminspur.traffic;

import java.util.function.Consumer;

/** What an instance remembers of where streams began; thread-safe. */
public interface StreamMemory {
    /** Remembers nothing. */
    StreamMemory NONE = new StreamMemory() {
        @Override
        public void collect(Consumer<StreamOrigins> result) {
            result.accept(StreamOrigins.NONE);
        }

        @Override
        public void learn(StreamOrigins origins) {}
    };

    /** Passes on, perhaps later and on another thread, the latest streams that began at this instance. */
    void collect(Consumer<StreamOrigins> result);

    /** Remembers streams that began at any instance. */
    void learn(StreamOrigins origins);
}
