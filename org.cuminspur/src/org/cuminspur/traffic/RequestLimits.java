package org.cuminspur.traffic;

/** Limits on a caller's request, in bytes and milliseconds; immutable. */
public record RequestLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}
