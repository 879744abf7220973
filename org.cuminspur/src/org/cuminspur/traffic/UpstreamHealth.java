package org.cuminspur.traffic;

/**
 * Decides from how requests end whether an upstream is left out for a while.
 *
 * <p>Not thread-safe. An upstream that is left out is tried again with one request at a time; success readmits it.
 */
public final class UpstreamHealth {
    /** Failures in a row that leave an upstream out; two are common by chance where one answer in seven fails. */
    private static final int EJECTION_FAILURES = 4;

    /** First time left out, as long as a connection is waited for; doubled at each failure up to the longest. */
    private static final long INITIAL_EJECTION_MS = 400;

    private static final long MAX_EJECTION_MS = 4_000;

    /** Weight of one request in the failure rate, so that the last dozen requests decide. */
    private static final double FAILURE_RATE_WEIGHT = 0.12;

    private double failureRate;
    private int consecutiveFailures;
    private int consecutiveUnreachable;
    private long ejectedUntilMillis = Long.MIN_VALUE;
    private long ejectionMillis = INITIAL_EJECTION_MS;
    private boolean probation;
    private long nextProbeMillis = Long.MIN_VALUE;

    /** Notes a request that was answered well. */
    public void recordSuccess() {
        failureRate -= failureRate * FAILURE_RATE_WEIGHT;
        consecutiveFailures = 0;
        consecutiveUnreachable = 0;
        ejectionMillis = INITIAL_EJECTION_MS;
        probation = false;
    }

    /** Notes a request that failed after it was sent; returns whether the upstream is left out from now on. */
    public boolean recordFailure(long nowMillis) {
        failureRate += (1 - failureRate) * FAILURE_RATE_WEIGHT;
        consecutiveFailures++;
        return (consecutiveFailures >= EJECTION_FAILURES || probation) && eject(nowMillis);
    }

    /** Notes that no connection could be made; returns whether the upstream is left out from now on. */
    public boolean recordUnreachable(long nowMillis) {
        consecutiveFailures++;
        consecutiveUnreachable++;
        return eject(nowMillis);
    }

    /** Returns whether it was unreachable more than once since it last answered, so that it has likely stopped. */
    public boolean likelyStopped() {
        return consecutiveUnreachable > 1;
    }

    /** Returns whether a request may be sent now; an upstream on probation takes one at a time. */
    public boolean admitsRequest(long nowMillis) {
        return nowMillis >= ejectedUntilMillis && (!probation || nowMillis >= nextProbeMillis);
    }

    /** Notes that a request is sent. */
    public void recordAttempt(long nowMillis) {
        if (probation) {
            nextProbeMillis = nowMillis + ejectionMillis;
        }
    }

    /** Returns the share of failures among the last requests. */
    public double failureRate() {
        return failureRate;
    }

    private boolean eject(long nowMillis) {
        if (nowMillis < ejectedUntilMillis) {
            return false;
        }
        ejectedUntilMillis = nowMillis + ejectionMillis;
        ejectionMillis = Math.min(MAX_EJECTION_MS, 2 * ejectionMillis);
        probation = true;
        return true;
    }
}
