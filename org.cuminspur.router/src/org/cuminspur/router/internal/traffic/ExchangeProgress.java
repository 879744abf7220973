package org.cuminspur.router.internal.traffic;

/** How far an exchange with an upstream has come; immutable. */
enum ExchangeProgress {
    /** There is no connection, so nothing was sent. */
    CONNECTING,
    /** Part of the request may have been written to the connection. */
    SENDING,
    /** The whole request was written, which does not mean that it has arrived. */
    SENT,
    RESPONDING
}
