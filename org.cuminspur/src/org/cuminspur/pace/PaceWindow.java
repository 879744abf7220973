package org.cuminspur.pace;

/**
 * The number of requests at once that an upstream which has just started or recovered is given, found from its answers.
 *
 * <p>Not thread-safe. Answers a burst that meets an upstream with empty caches and cold code: given all at once what it bears
 * later, it answers none in time; kept at a fixed rate, it stays idle long after it could work. Each answer that is as quick as
 * those of its peers adds a request, so the window doubles in the time that one request takes; after a first
 * slow answer it grows by one in that time. A slow answer or a failure halves it. It opens once it holds all that the upstream
 * runs at a time and as many answers after that were not slow: only these were given under the full load.
 */
public final class PaceWindow implements Pace {
    /** Requests at once at the begin: its answers tell more than any rule about how long a start takes. */
    private static final double FIRST = 1;

    /**
     * An answer adds to the window if it takes at most so many times what its peers take at the mean. Single answers vary by a half
     * of that, so at 1.5 too many of a cold upstream's answers to two requests at once are quick by chance.
     */
    private static final double QUICK_FACTOR = 1.25;

    /** An answer is slow if it takes more than so many times what its peers take at the mean. */
    private static final double SLOW_FACTOR = 2;

    private static final double BACKOFF = 0.5;

    /** Consecutive failures from which an upstream that was in full use is paced again. */
    private static final int MAX_FAILURES = 2;

    private double size = Double.POSITIVE_INFINITY;
    private long slowedMillis = Long.MIN_VALUE;
    private boolean slowed;
    private int answersInFullUse;
    private int failures;

    @Override
    public void begin(long nowMillis) {
        size = FIRST;
        slowedMillis = nowMillis;
        slowed = false;
        failures = 0;
        answersInFullUse = 0;
    }

    @Override
    public boolean isPacing() {
        return size != Double.POSITIVE_INFINITY;
    }

    @Override
    public int limit(int slots, long nowMillis) {
        return (int) Math.min(slots, size);
    }

    @Override
    public void answered(double tookMillis, double peersMillis, int slots, long nowMillis) {
        failures = 0;
        if (!isPacing()) {
            return;
        }
        if (peersMillis > 0 && tookMillis > SLOW_FACTOR * peersMillis) {
            slowDown(nowMillis, tookMillis);
            return;
        }
        if (size >= slots) {
            answersInFullUse++;
        } else if (peersMillis == 0 || tookMillis <= QUICK_FACTOR * peersMillis) {
            size = Math.min(slots, size + (slowed ? 1 / size : 1));
            answersInFullUse = 0;
        }
        if (answersInFullUse >= slots) {
            size = Double.POSITIVE_INFINITY;
        }
    }

    @Override
    public void failed(int slots, long nowMillis) {
        failures++;
        if (isPacing() && failures >= MAX_FAILURES) {
            // It is down, and will start anew.
            size = FIRST;
            slowed = false;
        } else if (isPacing()) {
            slowDown(nowMillis, 0);
        } else if (failures >= MAX_FAILURES) {
            size = Math.max(FIRST, BACKOFF * slots);
            slowedMillis = nowMillis;
            slowed = false;
        }
    }

    /** Halves the window, once for all requests that were sent before it was halved last. */
    private void slowDown(long nowMillis, double tookMillis) {
        if (nowMillis - tookMillis >= slowedMillis) {
            size = Math.max(FIRST, BACKOFF * size);
            slowedMillis = nowMillis;
            slowed = true;
        }
    }
}
