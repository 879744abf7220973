package org.cuminspur.internal.once;

import java.util.random.RandomGenerator;

/** A random source that several threads may draw from; thread-safe. */
record SharedRandom(RandomGenerator source) implements RandomGenerator {
    @Override
    public long nextLong() {
        synchronized (source) {
            return source.nextLong();
        }
    }
}
