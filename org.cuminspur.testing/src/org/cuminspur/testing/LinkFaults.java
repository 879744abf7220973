package org.cuminspur.testing;

import java.util.function.BiPredicate;
import org.cuminspur.id.InstanceId;

/** The faults of the links between routers; used by one thread. Shares are from 0 to 1, drawn for each message. */
public final class LinkFaults {
    private double lostShare;
    private double repeatedShare;
    private long minDelayMillis = 1;
    private long maxDelayMillis = 5;
    private BiPredicate<InstanceId, InstanceId> cut = (from, to) -> false;

    /** Returns the share of messages that are lost. */
    public double lostShare() {
        return lostShare;
    }

    public LinkFaults lostShare(double share) {
        lostShare = share;
        return this;
    }

    /** Returns the share of messages that arrive twice. */
    public double repeatedShare() {
        return repeatedShare;
    }

    public LinkFaults repeatedShare(double share) {
        repeatedShare = share;
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
    public BiPredicate<InstanceId, InstanceId> cut() {
        return cut;
    }

    public LinkFaults cut(BiPredicate<InstanceId, InstanceId> links) {
        cut = links;
        return this;
    }
}
