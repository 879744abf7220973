package org.cuminspur.http.client;

/** The ways a call to another process can fail; immutable. */
public enum CallFault {
    /** No byte of the request was sent. */
    NOT_SENT,
    /** The connection broke after the request was sent in part or whole. */
    BROKEN,
    /** Time ran out after the request was sent in part or whole. */
    TIMED_OUT
}
