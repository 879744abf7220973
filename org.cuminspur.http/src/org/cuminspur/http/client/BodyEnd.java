package org.cuminspur.http.client;

/** How the body of a response ended; immutable. */
public enum BodyEnd {
    /** There was no response. */
    NONE,
    /** The end that its framing announces was reached. */
    COMPLETE,
    /** The connection ended in order, and the framing announces no other end. */
    CONNECTION_END,
    /** The connection was reset, or ended before the end that the framing announces. */
    BROKEN,
    /** This process stopped reading or writing it. */
    ABORTED
}
