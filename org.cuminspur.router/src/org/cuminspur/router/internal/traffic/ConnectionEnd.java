package org.cuminspur.router.internal.traffic;

/** What became of the connection of an exchange; immutable. */
enum ConnectionEnd {
    NONE,
    KEPT,
    CLOSED
}
