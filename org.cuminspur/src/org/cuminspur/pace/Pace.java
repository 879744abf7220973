package org.cuminspur.pace;

/** Decides how many requests at once an upstream gets after a start or a recovery; not thread-safe. */
public interface Pace {
    /** Begins, since the upstream has just started or is back. */
    void begin(long nowMillis);

    /** Returns whether it limits the upstream. */
    boolean isPacing();

    /** Returns the requests that the upstream may hold, at least one and at most its slots. */
    int limit(int slots, long nowMillis);

    /**
     * Records an answer.
     *
     * @param tookMillis time that it took, at the upstream's usual speed
     * @param peersMillis what the same work takes at its peers, 0 if unknown
     * @param slots requests that the upstream runs at a time
     */
    void answered(double tookMillis, double peersMillis, int slots, long nowMillis);

    /** Records a connection that broke or could not be made, or a rejection. */
    void failed(int slots, long nowMillis);
}
