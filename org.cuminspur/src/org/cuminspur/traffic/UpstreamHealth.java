package org.cuminspur.traffic;

/**
 * Ejects an upstream for a while if requests to it fail.
 *
 * <p>Not thread-safe. After its ejection an upstream is on probation: until a request succeeds, it gets one request per
 * ejection time.
 */
public final class UpstreamHealth {
    /** Consecutive failures that eject an upstream; two are common by chance where one response in seven fails. */
    private static final int EJECTION_FAILURES = 4;

    /** First ejection time, equal to the connect time-out; doubled at each ejection up to the maximum. */
    private static final long INITIAL_EJECTION_MS = 400;

    private static final long MAX_EJECTION_MS = 4_000;

    /** Weight of one request in the moving failure rate, which thus reflects about the last dozen requests. */
    private static final double FAILURE_RATE_WEIGHT = 0.12;

    private double failureRate;
    private int consecutiveFailures;
    private int consecutiveUnreachable;
    private long ejectedUntilMillis = Long.MIN_VALUE;
    private long ejectionMillis = INITIAL_EJECTION_MS;
    private boolean probation;
    private long nextProbeMillis = Long.MIN_VALUE;

    /** Records a successful request. */
    public void recordSuccess() {
        failureRate -= failureRate * FAILURE_RATE_WEIGHT;
        consecutiveFailures = 0;
        consecutiveUnreachable = 0;
        ejectionMillis = INITIAL_EJECTION_MS;
        probation = false;
    }

    /** Records a request that failed after it was sent; returns whether this ejects the upstream. */
    public boolean recordFailure(long nowMillis) {
        failureRate += (1 - failureRate) * FAILURE_RATE_WEIGHT;
        consecutiveFailures++;
        return (consecutiveFailures >= EJECTION_FAILURES || probation) && eject(nowMillis);
    }

    /** Records that no connection could be made; returns whether this ejects the upstream. */
    public boolean recordUnreachable(long nowMillis) {
        consecutiveFailures++;
        consecutiveUnreachable++;
        return eject(nowMillis);
    }

    /** Returns whether it was unreachable more than once since its last success, so that it has likely stopped. */
    public boolean likelyStopped() {
        return consecutiveUnreachable > 1;
    }

    /** Returns whether a request may be sent now: not while ejected, and on probation once per ejection time. */
    public boolean admitsRequest(long nowMillis) {
        return nowMillis >= ejectedUntilMillis && (!probation || nowMillis >= nextProbeMillis);
    }

    /** Records that a request is sent. */
    public void recordAttempt(long nowMillis) {
        if (probation) {
            nextProbeMillis = nowMillis + ejectionMillis;
        }
    }

    /** Returns the moving average of the share of failed requests. */
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
