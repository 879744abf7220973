package org.cuminspur.control;

/**
 * What this router and its peers have seen of an upstream's load; used on the control thread only.
 *
 * <p>Ratios are work in progress as a multiple of the service's mean.
 */
public final class LoadState {
    private double peerRatio = 1;
    private long peerObservedMillis = Long.MIN_VALUE;
    private long peerReceivedMillis = Long.MIN_VALUE;
    private double announcedRatio = 1;
    private long announcedMillis = Long.MIN_VALUE;
    private double baseWeight = 1;
    private long weightVersion = Long.MIN_VALUE;
    private double averageRatio = 1;
    private long lastSampleMillis;
    private double spillAverage;
    private long lastSpillMillis;
    private long weightCheckedMillis;
    private double pendingWeightChange;
    private long weightAnnouncedMillis;

    /** Returns the load that a peer last told. */
    public double peerRatio() {
        return peerRatio;
    }

    /** Returns when a peer's word last came, or {@link Long#MIN_VALUE}. */
    public long peerReceivedMillis() {
        return peerReceivedMillis;
    }

    /** Takes a peer's word unless a newer one is held. */
    public void recordPeerReport(double ratio, long observedMillis, long now) {
        if (observedMillis > peerObservedMillis) {
            peerRatio = ratio;
            peerObservedMillis = observedMillis;
            peerReceivedMillis = now;
        }
    }

    /** Returns the load that this router last told its peers. */
    public double announcedRatio() {
        return announcedRatio;
    }

    /** Returns when this router last told its peers, or {@link Long#MIN_VALUE}. */
    public long announcedMillis() {
        return announcedMillis;
    }

    /** Notes what this router tells its peers. */
    public void recordAnnouncement(double ratio, long now) {
        announcedRatio = ratio;
        announcedMillis = now;
    }

    /** Returns the slow weight that evens out lasting differences; 1 is an even share. */
    public double baseWeight() {
        return baseWeight;
    }

    /** Takes a slow weight unless a newer one is held; returns whether it was taken. */
    public boolean updateBaseWeight(double weight, long versionMillis) {
        if (versionMillis <= weightVersion) {
            return false;
        }
        baseWeight = weight;
        weightVersion = versionMillis;
        return true;
    }

    /** Returns the long average of the load as this router has sampled it. */
    public double averageRatio() {
        return averageRatio;
    }

    /** Returns the average of the spilled share over the last seconds. */
    public double spillAverage() {
        return spillAverage;
    }

    /** Adds the spilled share of a tick to its average. */
    public void recordSpill(double share, long now, double timeConstantMillis) {
        spillAverage += (share - spillAverage) * (1 - Math.exp(-(now - lastSpillMillis) / timeConstantMillis));
        lastSpillMillis = now;
    }

    /** Adds a sample to the long average. */
    public void addSample(double ratio, long now, double timeConstantMillis) {
        double passed = lastSampleMillis == 0 ? 0 : now - lastSampleMillis;
        averageRatio += (ratio - averageRatio) * (1 - Math.exp(-passed / timeConstantMillis));
        lastSampleMillis = now;
    }

    /** Returns when this router last moved the slow weight. */
    public long weightCheckedMillis() {
        return weightCheckedMillis;
    }

    /** Notes that this router looked whether to move the slow weight. */
    public void recordWeightCheck(long now) {
        weightCheckedMillis = now;
    }

    /** Returns the change of the slow weight, as a share of it, that is due but not yet told. */
    public double pendingWeightChange() {
        return pendingWeightChange;
    }

    /** Sets the change of the slow weight that is due but not yet told. */
    public void pendingWeightChange(double drift) {
        pendingWeightChange = drift;
    }

    /** Returns when this router last told the slow weight. */
    public long weightAnnouncedMillis() {
        return weightAnnouncedMillis;
    }

    /** Notes that this router tells the slow weight. */
    public void recordWeightAnnouncement(long now) {
        weightAnnouncedMillis = now;
    }
}
