package org.cuminspur.router.internal.traffic;

/** Why an instance ends an attempt that has not ended by itself; immutable. */
enum GiveUpReason {
    /** The request's time is up. */
    DEADLINE,
    /** The caller disconnected. */
    CALLER_GONE,
    /** The time of a planned stop is over. */
    INSTANCE_STOPS,
    /** The instance found itself cut off from the service. */
    CUT_OFF,
    /** The upstream leaves and has not sent a byte. */
    UPSTREAM_LEAVES,
    /** The request, or a part of its prompt, may crash upstreams. */
    QUARANTINED,
    /** The response is of another request. */
    FOREIGN_RESPONSE,
    /** The resumed stream lacks events. */
    STREAM_GAP
}
