package org.cuminspur.traffic;

/**
 * How long an upstream that turned a request away wants no other from this instance; immutable.
 *
 * @param millis time from the response
 */
public record RequestPause(long millis) {
    /** Longest pause that is kept; an upstream that needs longer says so again. */
    public static final long MAX_MILLIS = 60_000;

    /** What an upstream stated that is no time. */
    public static final RequestPause INVALID = new RequestPause(-1);

    /** Returns the pause of a time in seconds, {@link #MAX_MILLIS} at most. */
    public static RequestPause ofSeconds(double seconds) {
        return new RequestPause((long) Math.min(MAX_MILLIS, Math.ceil(seconds * 1_000)));
    }

    public boolean isValid() {
        return millis >= 0;
    }
}
