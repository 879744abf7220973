package org.cuminspur.http.client;

/** The ways a call to another process can fail; immutable. */
public enum CallFault {
    /** No byte of the request was sent. */
    NOT_SENT,
    /** The connection broke after some or all of the request was sent. */
    BROKEN,
    /** The call timed out after some or all of the request was sent. */
    TIMED_OUT
}
