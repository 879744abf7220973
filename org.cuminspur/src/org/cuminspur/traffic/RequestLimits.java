package org.cuminspur.traffic;

/** Limits on a caller's request, in bytes and milliseconds; immutable. */
public record RequestLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** The limits until a configuration has been read. */
    public static final RequestLimits DEFAULT = new RequestLimits(16_384, 4_194_304, 3_000, 15_000);
}
