package org.cuminspur.control;

/**
 * Tracks when an upstream started cold and when it returned to service; used on the control thread only.
 *
 * <p>The start time never moves back, not even for a new incarnation, so a late message cannot make a cold upstream
 * look warm.
 */
public final class ColdStartState {
    /** Start time of an upstream that has long been warm. */
    public static final long DISTANT_PAST = 0;

    private String listedIncarnation = "";
    private long reportedIncarnation;
    private long startMillis = DISTANT_PAST;
    private long returnedToServiceMillis = DISTANT_PAST;
    private boolean outOfService;
    private long failedCount;

    /** Returns when the upstream started cold, or {@link #DISTANT_PAST}. */
    public long startMillis() {
        return startMillis;
    }

    /** Records a cold start; returns false if the known start is not older. */
    public boolean recordStart(long millis) {
        if (millis <= startMillis) {
            return false;
        }
        startMillis = millis;
        return true;
    }

    /** Returns the incarnation last seen in the platform's list, or the empty string. */
    public String listedIncarnation() {
        return listedIncarnation;
    }

    /** Sets the incarnation seen in the platform's list. */
    public void listedIncarnation(String value) {
        listedIncarnation = value;
    }

    /** Returns the incarnation that the upstream last reported, or 0. */
    public long reportedIncarnation() {
        return reportedIncarnation;
    }

    /** Sets the incarnation that the upstream reports. */
    public void reportedIncarnation(long value) {
        reportedIncarnation = value;
    }

    /** Returns when the upstream was last brought back into service, or {@link #DISTANT_PAST}. */
    public long returnedToServiceMillis() {
        return returnedToServiceMillis;
    }

    /** Records whether operators have taken the upstream out of service. */
    public void recordOutOfService(boolean out, long now) {
        if (outOfService && !out) {
            returnedToServiceMillis = now;
        }
        outOfService = out;
    }

    /** Records the count of failed requests; returns whether it grew. */
    public boolean recordFailures(long count) {
        boolean grew = count > failedCount;
        failedCount = count;
        return grew;
    }
}
