package org.cuminspur.reachability;

import org.cuminspur.traffic.UpstreamEntry;

/**
 * Evidence of the path from this instance to one start of an upstream.
 *
 * <p>Not thread-safe. A connection that is made proves the path, bytes on an open connection do not: connections may live
 * on while new ones are refused.
 */
final class UpstreamPath {
    /** Time of what has not happened. */
    static final long NEVER = Long.MIN_VALUE / 2;

    /** Time after which a connection that is tried has an outcome. */
    private static final long PROBE_MS = 1_500;

    /** Inaccuracy of the age of what another instance tells: its message takes a while. */
    private static final long AGE_ERROR_MS = 50;

    private final UpstreamEntry upstream;
    private long connectedMillis = NEVER;
    private long failingSinceMillis = NEVER;
    private long failedMillis = NEVER;
    private long receivedMillis = NEVER;
    private long probeStartedMillis = NEVER;
    private long reachedByOthersMillis = NEVER;

    UpstreamPath(UpstreamEntry upstream) {
        this.upstream = upstream;
    }

    UpstreamEntry upstream() {
        return upstream;
    }

    void recordConnected(long nowMillis) {
        connectedMillis = nowMillis;
        failingSinceMillis = NEVER;
    }

    /**
     * Records that no connection was made.
     *
     * @param startedMillis when the attempt began
     */
    void recordFailed(long startedMillis, long nowMillis) {
        failedMillis = nowMillis;
        if (!isFailing()) {
            failingSinceMillis = startedMillis;
        }
    }

    void recordReceived(long nowMillis) {
        receivedMillis = nowMillis;
    }

    void recordProbe(long nowMillis) {
        probeStartedMillis = nowMillis;
    }

    /** Records when another instance reached the upstream. */
    void recordReachedByOther(long reachedMillis) {
        reachedByOthersMillis = Math.max(reachedByOthersMillis, reachedMillis);
    }

    /** Returns whether a connection is tried to find out about the path. */
    boolean isProbing(long nowMillis) {
        return probeStartedMillis > triedMillis() && nowMillis - probeStartedMillis < PROBE_MS;
    }

    /** Returns whether another instance reached the upstream after this one had failed to. */
    boolean othersReach() {
        return isFailing() && reachedByOthersMillis > failingSinceMillis + AGE_ERROR_MS;
    }

    /** Returns whether no connection was made since one failed. */
    boolean isFailing() {
        return failingSinceMillis != NEVER;
    }

    long connectedMillis() {
        return connectedMillis;
    }

    long receivedMillis() {
        return receivedMillis;
    }

    /** Returns when the upstream was reached last, by a new connection or on an open one. */
    long reachedMillis() {
        return Math.max(connectedMillis, receivedMillis);
    }

    /** Returns when the outcome of a new connection was seen last. */
    long triedMillis() {
        return Math.max(connectedMillis, failedMillis);
    }
}
