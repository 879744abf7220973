package org.cuminspur.ratelimit;

/**
 * The rate that an upstream names in a response; immutable.
 *
 * @param requestsPerSecond requests that it takes a second from all instances together; 0 is a limit too
 */
public record NamedLimit(double requestsPerSecond) {
    /** Largest rate that counts as a limit; higher ones are taken for errors. */
    public static final double MAX_REQUESTS_PER_SECOND = 1_000_000;

    /** What an upstream named that is no rate. */
    public static final NamedLimit INVALID = new NamedLimit(Double.NaN);

    /** Returns the limit of a rate, {@link #INVALID} if it is negative, too large or not a number. */
    public static NamedLimit of(double requestsPerSecond) {
        return requestsPerSecond >= 0 && requestsPerSecond <= MAX_REQUESTS_PER_SECOND
                ? new NamedLimit(requestsPerSecond)
                : INVALID;
    }

    public boolean isValid() {
        return !Double.isNaN(requestsPerSecond);
    }
}
