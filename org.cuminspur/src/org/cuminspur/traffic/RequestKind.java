package org.cuminspur.traffic;

/** Whether requests of a route may be repeated; immutable. */
public enum RequestKind {
    /** May run more than once. */
    IDEMPOTENT,
    /** Runs at most once for each request of a caller. */
    NON_IDEMPOTENT,
    /** Answered by a stream of events; may run again only if the route's streams are resumable. */
    STREAM
}
