package org.cuminspur.router.internal.traffic;

/** What became of the connection of an exchange; immutable. */
enum ConnectionEnd {
    NONE,
    KEPT,
    /** Closed in order: what was written still arrives. */
    CLOSED,
    /** Reset: what was written and has not arrived is dropped. */
    RESET
}
