package org.cuminspur.traffic;

/** Says what may be repeated of a route's requests; immutable. */
public enum RequestKind {
    /** May run more than once. */
    IDEMPOTENT,
    /** Runs at most once for each request of a caller. */
    NON_IDEMPOTENT,
    /** Is answered by a series of events; may run again only where the route lets a stream resume. */
    STREAM
}
