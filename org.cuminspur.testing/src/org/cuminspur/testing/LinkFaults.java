package org.cuminspur.testing;

import java.util.function.BiPredicate;
import org.cuminspur.id.InstanceId;

/**
 * The faults of the links between routers.
 *
 * <p>Not thread-safe. Probabilities are from 0 to 1 and apply to each message on its own.
 */
public final class LinkFaults {
    private double lossProbability;
    private double duplicationProbability;
    private long minDelayMillis = 1;
    private long maxDelayMillis = 5;
    private BiPredicate<InstanceId, InstanceId> partitioned = (from, to) -> false;

    public double lossProbability() {
        return lossProbability;
    }

    public LinkFaults lossProbability(double probability) {
        lossProbability = probability;
        return this;
    }

    /** Returns the probability that a message arrives twice. */
    public double duplicationProbability() {
        return duplicationProbability;
    }

    public LinkFaults duplicationProbability(double probability) {
        duplicationProbability = probability;
        return this;
    }

    /** Returns the minimum delay of a message. */
    public long minDelayMillis() {
        return minDelayMillis;
    }

    /** Returns the maximum delay of a message; a wide range of delays reorders messages. */
    public long maxDelayMillis() {
        return maxDelayMillis;
    }

    public LinkFaults delay(long minMillis, long maxMillis) {
        minDelayMillis = minMillis;
        maxDelayMillis = maxMillis;
        return this;
    }

    /** Returns the predicate (from, to) of links that drop every message. */
    public BiPredicate<InstanceId, InstanceId> partitioned() {
        return partitioned;
    }

    public LinkFaults partitioned(BiPredicate<InstanceId, InstanceId> links) {
        partitioned = links;
        return this;
    }
}
