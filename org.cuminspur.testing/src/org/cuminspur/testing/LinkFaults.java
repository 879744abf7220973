package org.cuminspur.testing;

import java.util.function.BiPredicate;
import org.cuminspur.id.InstanceId;

/** The faults of the links between routers; used by one thread. Shares are from 0 to 1, drawn for each message. */
public final class LinkFaults {
    private double lossProbability;
    private double duplicationProbability;
    private long minDelayMillis = 1;
    private long maxDelayMillis = 5;
    private BiPredicate<InstanceId, InstanceId> partitioned = (from, to) -> false;

    /** Returns the share of messages that are lost. */
    public double lossProbability() {
        return lossProbability;
    }

    public LinkFaults lossProbability(double probability) {
        lossProbability = probability;
        return this;
    }

    /** Returns the share of messages that arrive twice. */
    public double duplicationProbability() {
        return duplicationProbability;
    }

    public LinkFaults duplicationProbability(double probability) {
        duplicationProbability = probability;
        return this;
    }

    /** Returns the shortest way of a message. */
    public long minDelayMillis() {
        return minDelayMillis;
    }

    /** Returns the longest way of a message; a wide range crosses messages. */
    public long maxDelayMillis() {
        return maxDelayMillis;
    }

    public LinkFaults delay(long minMillis, long maxMillis) {
        minDelayMillis = minMillis;
        maxDelayMillis = maxMillis;
        return this;
    }

    /** Returns which links carry nothing. */
    public BiPredicate<InstanceId, InstanceId> partitioned() {
        return partitioned;
    }

    public LinkFaults partitioned(BiPredicate<InstanceId, InstanceId> links) {
        partitioned = links;
        return this;
    }
}
