package org.cuminspur.slo;

import java.util.stream.IntStream;

/**
 * Counts good and bad requests by the minute for the last six hours.
 *
 * <p>Thread-safe. Memory is fixed; minutes older than that are overwritten.
 */
final class MinuteBuckets {
    static final long BUCKET_MS = 60_000;

    private static final int BUCKETS = 361;

    private final int[] good = new int[BUCKETS];
    private final int[] bad = new int[BUCKETS];
    private final long[] minutes = new long[BUCKETS];

    synchronized void add(boolean isGood, long now) {
        long minute = now / BUCKET_MS;
        int bucket = (int) (minute % BUCKETS);
        if (minutes[bucket] != minute) {
            minutes[bucket] = minute;
            good[bucket] = 0;
            bad[bucket] = 0;
        }
        if (isGood) {
            good[bucket]++;
        } else {
            bad[bucket]++;
        }
    }

    /** Returns the counts of the current minute and of the whole minutes before it that make up the period. */
    synchronized RequestCounts sumOfLast(long periodMillis, long now) {
        long newest = now / BUCKET_MS;
        long oldest = newest - periodMillis / BUCKET_MS + 1;
        return IntStream.range(0, BUCKETS)
                .filter(bucket -> minutes[bucket] >= oldest && minutes[bucket] <= newest)
                .mapToObj(bucket -> new RequestCounts(good[bucket], bad[bucket]))
                .reduce(RequestCounts.NONE, RequestCounts::plus);
    }
}
