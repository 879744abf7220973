package org.cuminspur.router.internal.traffic;

/** How far an exchange with an upstream has come; immutable. */
enum ExchangeProgress {
    /** There is no connection, so nothing was sent. */
    CONNECTING,
    /** Part of the request may have been written to the connection. */
    SENDING,
    /** The whole request was written, which does not mean that it has arrived. */
    SENT,
    RESPONDING;

    /** Returns the progress of an exchange that has a connection or not, has written all or not, has a response or not. */
    static ExchangeProgress of(boolean connected, boolean written, boolean responding) {
        if (responding) {
            return RESPONDING;
        } else if (written) {
            return SENT;
        }
        return connected ? SENDING : CONNECTING;
    }
}
