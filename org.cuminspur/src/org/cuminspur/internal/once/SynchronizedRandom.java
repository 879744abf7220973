package org.cuminspur.internal.once;

import java.util.random.RandomGenerator;

/** A thread-safe wrapper of a random generator. */
record SynchronizedRandom(RandomGenerator delegate) implements RandomGenerator {
    @Override
    public long nextLong() {
        synchronized (delegate) {
            return delegate.nextLong();
        }
    }
}
