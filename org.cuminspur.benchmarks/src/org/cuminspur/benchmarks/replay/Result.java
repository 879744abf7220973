package org.cuminspur.benchmarks.replay;

import java.util.Arrays;
import java.util.TreeMap;

/** Collects what a replay measures; used by one thread. */
final class Result {
    private static final int MS = 1_000;

    private final TreeMap<Long, int[]> bySecond = new TreeMap<>();
    private double[] skews = new double[64];
    private int samples;
    long promptTokens;
    long cachedTokens;
    long cut;
    long refused;
    long coldOver;
    double coldWorst;

    void arrived(long atMillis) {
        second(atMillis)[0]++;
    }

    void servedInTime(long arrivedMillis) {
        second(arrivedMillis)[1]++;
    }

    void skew(double value) {
        if (samples == skews.length) {
            skews = Arrays.copyOf(skews, 2 * samples);
        }
        skews[samples++] = value;
    }

    double skewP99() {
        double[] sorted = Arrays.stream(skews, 0, samples).sorted().toArray();
        return samples == 0 ? 0 : sorted[Math.min(samples - 1, (int) (samples * 0.99))];
    }

    double skewWorst() {
        return Arrays.stream(skews, 0, samples).max().orElse(0);
    }

    /** Returns the share of requests served in time among those that arrived in a second, from a time on. */
    double lowestSecond(long fromMillis, long untilMillis) {
        return seconds(fromMillis, untilMillis)
                .mapToDouble(count -> (double) count[1] / count[0])
                .min()
                .orElse(1);
    }

    /** Returns how many seconds lie below a share. */
    long secondsBelow(double share, long fromMillis, long untilMillis) {
        return seconds(fromMillis, untilMillis)
                .filter(count -> count[1] < share * count[0])
                .count();
    }

    /** Returns the seconds from a time until the last one below a share. */
    long recoverySeconds(double share, long fromMillis, long untilMillis) {
        return bySecond.subMap(fromMillis / MS, untilMillis / MS).entrySet().stream()
                .filter(entry -> entry.getValue()[1] < share * entry.getValue()[0])
                .mapToLong(entry -> entry.getKey() - fromMillis / MS + 1)
                .max()
                .orElse(0);
    }

    /** Returns the share served in time for each second, for plots. */
    TreeMap<Long, Double> service() {
        TreeMap<Long, Double> shares = new TreeMap<>();
        bySecond.forEach((second, count) -> shares.put(second, (double) count[1] / Math.max(1, count[0])));
        return shares;
    }

    private java.util.stream.Stream<int[]> seconds(long fromMillis, long untilMillis) {
        return bySecond.subMap(fromMillis / MS, untilMillis / MS).values().stream();
    }

    private int[] second(long atMillis) {
        return bySecond.computeIfAbsent(atMillis / MS, second -> new int[2]);
    }
}
