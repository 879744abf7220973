package org.cuminspur.errors;

import static org.cuminspur.errors.RunState.NOT_RUN;
import static org.cuminspur.errors.RunState.RAN;
import static org.cuminspur.errors.RunState.UNKNOWN;

import java.util.Locale;

/**
 * The ways in which a request can fail, with the answer for each.
 *
 * <p>Immutable. These constants are the only place where an error maps to a status, a run state and
 * whether the caller gets a Retry-After.
 */
public enum ErrorKind {
    BAD_REQUEST(400, NOT_RUN, false, "the request is malformed"),
    UNAUTHENTICATED(401, NOT_RUN, false, "no known account key was given"),
    FORBIDDEN(403, NOT_RUN, false, "the account may not use this route"),
    NO_ROUTE(404, NOT_RUN, false, "no route matches"),
    BODY_TOO_LARGE(413, NOT_RUN, false, "the body is larger than allowed"),
    HEADERS_TOO_LARGE(431, NOT_RUN, false, "the headers are larger than allowed"),
    SENDER_TOO_SLOW(408, NOT_RUN, true, "the request did not arrive in time"),
    KEY_MISSING(400, NOT_RUN, false, "this route needs an idempotency key"),
    KEY_EXPIRED(409, NOT_RUN, false, "the idempotency key is older than the window"),
    KEY_REUSED(422, NOT_RUN, false, "the idempotency key was used for another request"),
    KEY_IN_PROGRESS(409, UNKNOWN, true, "the first request with this key is in progress"),
    OUTCOME_UNKNOWN(409, UNKNOWN, false, "the first request with this key has an unknown outcome"),
    OUTCOME_NOT_KEPT(409, RAN, false, "the first request with this key ran; its answer is no longer kept"),
    ACCOUNT_LIMIT(429, NOT_RUN, true, "the account is over its limit"),
    OVERLOADED(503, NOT_RUN, true, "no capacity is free"),
    NOT_READY(503, NOT_RUN, true, "this instance has no configuration yet"),
    VIEW_STALE(503, NOT_RUN, true, "this instance cannot confirm its configuration"),
    STOPPING(503, NOT_RUN, true, "this instance is stopping"),
    STOPPED_AFTER_SEND(502, UNKNOWN, false, "this instance stopped before the upstream had answered"),
    STREAM_UNKNOWN(503, NOT_RUN, true, "the software version that began the stream is not known"),
    QUARANTINED(503, NOT_RUN, true, "the request, or a part of its prompt, has crashed upstreams"),
    PEER_UNAVAILABLE(503, NOT_RUN, true, "this instance takes no requests of other instances now"),
    NO_UPSTREAM(503, NOT_RUN, true, "no upstream can take the request"),
    STORE_UNAVAILABLE(503, NOT_RUN, true, "the request cannot be recorded now"),
    DEADLINE_BEFORE_SEND(504, NOT_RUN, true, "the deadline passed before the request was sent"),
    DEADLINE_AFTER_SEND(504, UNKNOWN, false, "the deadline passed after the request was sent"),
    UPSTREAM_UNREACHABLE(502, NOT_RUN, true, "no connection to an upstream could be made"),
    UPSTREAM_BROKE(502, UNKNOWN, false, "the upstream's connection broke before a whole answer"),
    UPSTREAM_REFUSED(503, NOT_RUN, true, "the upstream refused the request"),
    UPSTREAM_BUSY(503, UNKNOWN, true, "the upstream answered that it is busy, not that the request was not run"),
    INTERNAL(500, UNKNOWN, false, "an internal error");

    private final int status;
    private final RunState runState;
    private final boolean hasRetryAfter;
    private final String message;

    ErrorKind(int status, RunState runState, boolean hasRetryAfter, String message) {
        this.status = status;
        this.runState = runState;
        this.hasRetryAfter = hasRetryAfter;
        this.message = message;
    }

    /** Returns the HTTP status of the answer. */
    public int status() {
        return status;
    }

    /** Returns what is known about whether the request ran. */
    public RunState runState() {
        return runState;
    }

    /** Returns whether the answer carries a Retry-After. */
    public boolean hasRetryAfter() {
        return hasRetryAfter;
    }

    /** Returns a short description in English. */
    public String message() {
        return message;
    }

    /** Returns the name used in answers, metrics and logs, such as {@code no-upstream}. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
