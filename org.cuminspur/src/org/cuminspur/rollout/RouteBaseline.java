package org.cuminspur.rollout;

import java.util.Arrays;

/**
 * What the versions in service take to answer a route, by which slow answers of the target are told.
 *
 * <p>Not thread-safe. Keeps the latest answers, so that what strikes all versions at a time raises the measure too.
 */
final class RouteBaseline {
    /** Answers from which times are compared; with fewer, a quantile says little. */
    static final int MIN_ANSWERS = 8;

    private static final int KEPT_ANSWERS = 64;

    /**
     * Multiple of the quantile from which an answer is slow. Few usual answers are, and most that take several times as long
     * as usual are; those few count on both sides of the comparison.
     */
    private static final double SLOW_FACTOR = 2;

    private static final double QUANTILE = 0.8;

    /** Added to the limit of times to the first byte, for pauses of the instance itself. */
    private static final double MARGIN_MS = 20;

    /** The latest values of one measure. */
    private static final class Window {
        private final double[] values = new double[KEPT_ANSWERS];
        private int count;

        void add(double value) {
            values[count++ % KEPT_ANSWERS] = value;
        }

        /** Returns the value from which an answer is slow, infinity if too little is known. */
        double limit() {
            int kept = Math.min(count, KEPT_ANSWERS);
            if (kept < MIN_ANSWERS) {
                return Double.POSITIVE_INFINITY;
            }
            double[] sorted = Arrays.copyOf(values, kept);
            Arrays.sort(sorted);
            return SLOW_FACTOR * sorted[(int) (QUANTILE * (kept - 1))];
        }
    }

    private final Window firstByteMillis = new Window();
    private final Window paceMillis = new Window();

    /** Records the time to the first byte of an answer. */
    void recordFirstByte(double millis) {
        firstByteMillis.add(millis);
    }

    /** Records the time that an answer took for each kilobyte after the first bytes. */
    void recordPace(double millisPerKilobyte) {
        paceMillis.add(millisPerKilobyte);
    }

    /** Returns the time to the first byte from which an answer is slow, infinity if too little is known. */
    double slowFirstByteMillis() {
        return firstByteMillis.limit() + MARGIN_MS;
    }

    /** Returns the time for each kilobyte from which an answer is slow, infinity if too little is known. */
    double slowPaceMillis() {
        return paceMillis.limit();
    }
}
