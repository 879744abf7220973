package org.cuminspur.traffic;

/** Bounds on what a caller may send, in bytes and milliseconds; immutable. */
public record RequestLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}
