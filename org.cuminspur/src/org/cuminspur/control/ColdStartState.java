package org.cuminspur.control;

/**
 * What is known of the start of an upstream and of its return; used on the control thread only.
 *
 * <p>The start never moves back for a new incarnation, so a late message cannot make a cold upstream look warm.
 */
public final class ColdStartState {
    /** A start so long ago that the upstream is warm. */
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

    /** Notes that the upstream started cold; an older start is ignored. */
    public boolean recordStart(long millis) {
        if (millis <= startMillis) {
            return false;
        }
        startMillis = millis;
        return true;
    }

    /** Returns the incarnation that the list last gave, or the empty string. */
    public String listedIncarnation() {
        return listedIncarnation;
    }

    /** Sets the incarnation that the list gives. */
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

    /** Notes whether operators hold the upstream out of service. */
    public void recordOutOfService(boolean out, long now) {
        if (outOfService && !out) {
            returnedToServiceMillis = now;
        }
        outOfService = out;
    }

    /** Takes the count of failed requests; returns whether it grew. */
    public boolean recordFailures(long count) {
        boolean grew = count > failedCount;
        failedCount = count;
        return grew;
    }
}
