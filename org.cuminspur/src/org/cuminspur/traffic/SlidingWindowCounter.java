package org.cuminspur.traffic;

/**
 * Counts the events in a sliding time window exactly, with one stored time per event.
 *
 * <p>Not thread-safe. The times passed must not decrease.
 */
final class SlidingWindowCounter {
    private final long windowMillis;
    private long[] times;
    private int first;
    private int size;

    SlidingWindowCounter(long windowMillis, int initialCapacity) {
        this.windowMillis = windowMillis;
        this.times = new long[initialCapacity];
    }

    /** Counts an event. */
    void add(long nowMillis) {
        evictExpired(nowMillis);
        if (size == times.length) {
            grow();
        }
        times[(first + size) % times.length] = nowMillis;
        size++;
    }

    /** Returns the number of events in the window that ends now. */
    int count(long nowMillis) {
        evictExpired(nowMillis);
        return size;
    }

    private void evictExpired(long nowMillis) {
        while (size > 0 && times[first] <= nowMillis - windowMillis) {
            first = (first + 1) % times.length;
            size--;
        }
    }

    private void grow() {
        long[] larger = new long[times.length * 2];
        for (int i = 0; i < size; i++) {
            larger[i] = times[(first + i) % times.length];
        }
        times = larger;
        first = 0;
    }
}
