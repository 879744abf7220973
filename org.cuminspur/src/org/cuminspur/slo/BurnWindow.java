package org.cuminspur.slo;

/**
 * The pairs of windows of the multi-window burn alarm; immutable.
 *
 * <p>An alarm needs a burn rate over the threshold in both windows: the long one shows that it is significant, the
 * short one that it continues.
 */
public enum BurnWindow {
    FAST("5m", 5 * 60_000L, "1h", 3_600_000L, 14.4),
    SLOW("30m", 30 * 60_000L, "6h", 6 * 3_600_000L, 6);

    private final String shortLabel;
    private final long shortMillis;
    private final String longLabel;
    private final long longMillis;
    private final double threshold;

    BurnWindow(String shortLabel, long shortMillis, String longLabel, long longMillis, double threshold) {
        this.shortLabel = shortLabel;
        this.shortMillis = shortMillis;
        this.longLabel = longLabel;
        this.longMillis = longMillis;
        this.threshold = threshold;
    }

    public String shortLabel() {
        return shortLabel;
    }

    public long shortMillis() {
        return shortMillis;
    }

    public String longLabel() {
        return longLabel;
    }

    public long longMillis() {
        return longMillis;
    }

    /** Returns whether a row's burn rates raise the alarm. */
    public boolean raisesAlarm(BurnRow row) {
        return row.burnRate(shortLabel) >= threshold && row.burnRate(longLabel) >= threshold;
    }
}
