package org.cuminspur.control;

/**
 * An upstream's load as observed by this router and reported by its peers; used on the control thread only.
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
    private long baseWeightVersionMillis = Long.MIN_VALUE;
    private double averageRatio = 1;
    private long lastSampleMillis;
    private double spillAverage;
    private long lastSpillMillis;
    private long weightCheckedMillis;
    private double pendingWeightChange;
    private long weightAnnouncedMillis;

    /** Returns the load ratio that a peer last reported. */
    public double peerRatio() {
        return peerRatio;
    }

    /** Returns when a peer's report last arrived, or {@link Long#MIN_VALUE}. */
    public long peerReceivedMillis() {
        return peerReceivedMillis;
    }

    /** Records a peer's report if it is newer than the one known. */
    public void recordPeerReport(double ratio, long observedMillis, long now) {
        if (observedMillis > peerObservedMillis) {
            peerRatio = ratio;
            peerObservedMillis = observedMillis;
            peerReceivedMillis = now;
        }
    }

    /** Returns the load ratio that this router last announced to its peers. */
    public double announcedRatio() {
        return announcedRatio;
    }

    /** Returns when this router last announced the load, or {@link Long#MIN_VALUE}. */
    public long announcedMillis() {
        return announcedMillis;
    }

    /** Records an announcement to the peers. */
    public void recordAnnouncement(double ratio, long now) {
        announcedRatio = ratio;
        announcedMillis = now;
    }

    /** Returns the base weight, which evens out lasting load differences; 1 is an even share. */
    public double baseWeight() {
        return baseWeight;
    }

    /** Sets the base weight if it is newer than the one known; returns whether it was set. */
    public boolean updateBaseWeight(double weight, long versionMillis) {
        if (versionMillis <= baseWeightVersionMillis) {
            return false;
        }
        baseWeight = weight;
        baseWeightVersionMillis = versionMillis;
        return true;
    }

    /** Returns the long-term average of the load ratio that this router sampled. */
    public double averageRatio() {
        return averageRatio;
    }

    /** Returns the moving average of the spilled share over the last seconds. */
    public double spillAverage() {
        return spillAverage;
    }

    /** Adds the spilled share of a tick to its average. */
    public void recordSpill(double share, long now, double timeConstantMillis) {
        spillAverage += (share - spillAverage) * (1 - Math.exp(-(now - lastSpillMillis) / timeConstantMillis));
        lastSpillMillis = now;
    }

    /** Adds a sample to the long-term average. */
    public void addSample(double ratio, long now, double timeConstantMillis) {
        double passed = lastSampleMillis == 0 ? 0 : now - lastSampleMillis;
        averageRatio += (ratio - averageRatio) * (1 - Math.exp(-passed / timeConstantMillis));
        lastSampleMillis = now;
    }

    /** Returns when this router last checked the base weight. */
    public long weightCheckedMillis() {
        return weightCheckedMillis;
    }

    /** Records that this router checked the base weight. */
    public void recordWeightCheck(long now) {
        weightCheckedMillis = now;
    }

    /** Returns the change of the base weight, as a share of it, that is not yet announced. */
    public double pendingWeightChange() {
        return pendingWeightChange;
    }

    /** Sets the change of the base weight that is not yet announced. */
    public void pendingWeightChange(double change) {
        pendingWeightChange = change;
    }

    /** Returns when this router last announced the base weight. */
    public long weightAnnouncedMillis() {
        return weightAnnouncedMillis;
    }

    /** Records an announcement of the base weight. */
    public void recordWeightAnnouncement(long now) {
        weightAnnouncedMillis = now;
    }
}
