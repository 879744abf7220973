package org.cuminspur.rollout;

/** Which requests the upstreams of a software version may take during a roll-out. */
public enum VersionRole {
    /** All requests. */
    SERVING,
    /** Requests that are bound to the version: those chosen for the canary, and streams that it began. */
    BOUND_ONLY,
    /** No request. */
    RETIRED
}
