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

    private final UpstreamEntry upstream;
    private long connectedMillis = NEVER;
    private long failingSinceMillis = NEVER;
    private long failedMillis = NEVER;
    private long receivedMillis = NEVER;

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

    /** Returns whether no connection was made since one failed. */
    boolean isFailing() {
        return failingSinceMillis != NEVER;
    }

    /** Returns when the first of the connections that failed in a row was tried. */
    long failingSinceMillis() {
        return failingSinceMillis;
    }

    long connectedMillis() {
        return connectedMillis;
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
