package org.cuminspur.traffic;

/**
 * Decides from how requests end whether an upstream is left out for a while.
 *
 * <p>Not thread-safe. An upstream that is left out is tried again with one request at a time; success readmits it.
 */
public final class UpstreamHealth {
    /** Failures in a row that leave an upstream out; two are common by chance where one answer in seven fails. */
    private static final int FAILURES_IN_ROW = 4;

    /** First time left out, as long as a connection is waited for; doubled at each failure up to the longest. */
    private static final long FIRST_PAUSE_MS = 400;

    private static final long LONGEST_PAUSE_MS = 4_000;

    /** Weight of one request in the failure rate, so that the last dozen requests decide. */
    private static final double RATE_STEP = 0.12;

    private double failureRate;
    private int failuresInRow;
    private int unreachableInRow;
    private long outUntil = Long.MIN_VALUE;
    private long pauseMillis = FIRST_PAUSE_MS;
    private boolean probation;
    private long nextProbe = Long.MIN_VALUE;

    /** Notes a request that was answered well. */
    public void recordSuccess() {
        failureRate -= failureRate * RATE_STEP;
        failuresInRow = 0;
        unreachableInRow = 0;
        pauseMillis = FIRST_PAUSE_MS;
        probation = false;
    }

    /** Notes a request that failed after it was sent; returns whether the upstream is left out from now on. */
    public boolean recordFailure(long nowMillis) {
        failureRate += (1 - failureRate) * RATE_STEP;
        failuresInRow++;
        return (failuresInRow >= FAILURES_IN_ROW || probation) && leaveOut(nowMillis);
    }

    /** Notes that no connection could be made; returns whether the upstream is left out from now on. */
    public boolean recordUnreachable(long nowMillis) {
        failuresInRow++;
        unreachableInRow++;
        return leaveOut(nowMillis);
    }

    /** Returns whether it was unreachable more than once since it last answered, so that it has likely stopped. */
    public boolean likelyStopped() {
        return unreachableInRow > 1;
    }

    /** Returns whether a request may be sent now; an upstream on probation takes one at a time. */
    public boolean admitsRequest(long nowMillis) {
        return nowMillis >= outUntil && (!probation || nowMillis >= nextProbe);
    }

    /** Notes that a request is sent. */
    public void recordAttempt(long nowMillis) {
        if (probation) {
            nextProbe = nowMillis + pauseMillis;
        }
    }

    /** Returns the share of failures among the last requests. */
    public double failureRate() {
        return failureRate;
    }

    private boolean leaveOut(long nowMillis) {
        if (nowMillis < outUntil) {
            return false;
        }
        outUntil = nowMillis + pauseMillis;
        pauseMillis = Math.min(LONGEST_PAUSE_MS, 2 * pauseMillis);
        probation = true;
        return true;
    }
}
