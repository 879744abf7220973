package org.cuminspur.quarantine;

/**
 * A request whose connection to an upstream broke before its response was complete; immutable.
 *
 * @param requestId id of the client's attempt, another one for each repeat
 * @param answeredMillis time since the first byte of its response's body, -1 if there was none
 */
public record BrokenRequest(String requestId, Suspects suspects, long answeredMillis) {
    /** Value of {@link #answeredMillis} if no byte of the body was received. */
    public static final long NOT_ANSWERED = -1;

    /** Returns whether the upstream may have ended because of this request. */
    boolean isSuspect() {
        return answeredMillis < CrashQuarantine.SUSPECT_MS;
    }
}
