package org.cuminspur.quarantine;

/**
 * Whether a request may be sent to an upstream; immutable.
 *
 * @param trial whether it is admitted as the only one with a quarantined suspect; holds until it reaches an upstream
 * @param retryAfterMillis if it is not admitted, the time until the next request like it may be tried
 */
public record Admission(boolean admitted, boolean trial, long retryAfterMillis) {
    /** Admits a request without a quarantined suspect. */
    public static final Admission ADMITTED = new Admission(true, false, 0);

    /** Admits a request as the only one with a quarantined suspect. */
    public static final Admission TRIAL = new Admission(true, true, 0);

    static Admission rejected(long retryAfterMillis) {
        return new Admission(false, false, retryAfterMillis);
    }
}
