package org.cuminspur.testing;

/**
 * The faults that a {@link SimulatedStore} injects.
 *
 * <p>Not thread-safe. Probabilities are from 0 to 1 and apply to each call on its own.
 */
public final class StoreFaults {
    private boolean outage;
    private boolean refusing;
    private boolean silentWatches;
    private boolean historyDropped;
    private double replyLossProbability;
    private double requestLossProbability;
    private long minDelayMillis = 1;
    private long maxDelayMillis = 5;

    /** Returns whether calls get no reply. */
    public boolean outage() {
        return outage;
    }

    public StoreFaults outage(boolean on) {
        outage = on;
        return this;
    }

    /** Returns whether calls are rejected without taking effect. */
    public boolean refusing() {
        return refusing;
    }

    public StoreFaults refusing(boolean on) {
        refusing = on;
        return this;
    }

    /** Returns whether open watches deliver no changes, though they do not break. */
    public boolean historyDropped() {
        return historyDropped;
    }

    /** Sets whether the store has dropped the changes that it is asked for. */
    public StoreFaults historyDropped(boolean on) {
        historyDropped = on;
        return this;
    }

    public boolean silentWatches() {
        return silentWatches;
    }

    public StoreFaults silentWatches(boolean on) {
        silentWatches = on;
        return this;
    }

    /** Returns the probability that a call takes effect but its reply is lost. */
    public double replyLossProbability() {
        return replyLossProbability;
    }

    public StoreFaults replyLossProbability(double probability) {
        replyLossProbability = probability;
        return this;
    }

    /** Returns the probability that a call is lost before it takes effect. */
    public double requestLossProbability() {
        return requestLossProbability;
    }

    public StoreFaults requestLossProbability(double probability) {
        requestLossProbability = probability;
        return this;
    }

    /** Returns the minimum one-way delay of a request or reply. */
    public long minDelayMillis() {
        return minDelayMillis;
    }

    /** Returns the maximum one-way delay of a request or reply. */
    public long maxDelayMillis() {
        return maxDelayMillis;
    }

    public StoreFaults delay(long minMillis, long maxMillis) {
        minDelayMillis = minMillis;
        maxDelayMillis = maxMillis;
        return this;
    }
}
