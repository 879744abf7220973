package org.cuminspur.testing;

/**
 * The faults that a {@link SimulatedStore} shows; used by one thread.
 *
 * <p>Shares are from 0 to 1 and are drawn for each call.
 */
public final class StoreFaults {
    private boolean outage;
    private boolean refusing;
    private boolean silentWatches;
    private double replyLossProbability;
    private double requestLossProbability;
    private long minDelayMillis = 1;
    private long maxDelayMillis = 5;

    /** Returns whether no call is answered. */
    public boolean outage() {
        return outage;
    }

    public StoreFaults outage(boolean on) {
        outage = on;
        return this;
    }

    /** Returns whether calls are refused at once, without effect. */
    public boolean refusing() {
        return refusing;
    }

    public StoreFaults refusing(boolean on) {
        refusing = on;
        return this;
    }

    /** Returns whether running watches tell no changes, though they do not break. */
    public boolean silentWatches() {
        return silentWatches;
    }

    public StoreFaults silentWatches(boolean on) {
        silentWatches = on;
        return this;
    }

    /** Returns the share of calls whose reply is lost after they took effect. */
    public double replyLossProbability() {
        return replyLossProbability;
    }

    public StoreFaults replyLossProbability(double probability) {
        replyLossProbability = probability;
        return this;
    }

    /** Returns the share of calls that are lost before they took effect. */
    public double requestLossProbability() {
        return requestLossProbability;
    }

    public StoreFaults requestLossProbability(double probability) {
        requestLossProbability = probability;
        return this;
    }

    /** Returns the shortest way of a call to the store or of its reply. */
    public long minDelayMillis() {
        return minDelayMillis;
    }

    /** Returns the longest way of a call to the store or of its reply. */
    public long maxDelayMillis() {
        return maxDelayMillis;
    }

    public StoreFaults delay(long minMillis, long maxMillis) {
        minDelayMillis = minMillis;
        maxDelayMillis = maxMillis;
        return this;
    }
}
