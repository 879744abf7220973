package org.cuminspur.router.internal.caller;

import io.vavr.control.Option;
import org.cuminspur.config.Objective;
import org.cuminspur.errors.ErrorKind;
import org.cuminspur.slo.RequestOutcome;
import org.cuminspur.time.Clock;

/**
 * Notes how and when one request was answered.
 *
 * <p>Used by the worker thread that serves the request. What the caller itself is at fault for has no outcome.
 */
final class RequestOutcomeRecorder {
    private static final int SERVER_ERROR = 500;

    private final Clock clock;
    private final long arrivedMillis;
    private int status;
    private int pieces;
    private long firstMillis;
    private long lastMillis;
    private ErrorKind error;

    RequestOutcomeRecorder(Clock clock) {
        this.clock = clock;
        this.arrivedMillis = clock.millis();
    }

    /** Notes that an answer began. */
    void recordStatus(int answerStatus) {
        status = answerStatus;
    }

    /** Notes that a piece of the answer was written. */
    void recordPiece() {
        lastMillis = clock.millis();
        firstMillis = pieces == 0 ? lastMillis : firstMillis;
        pieces++;
    }

    /** Notes that the request was refused or its answer broken off. */
    void recordRefusal(ErrorKind kind) {
        error = kind;
    }

    /** Returns the outcome, once the answer has ended. */
    Option<RequestOutcome> outcome(RoutedRequest routed, Objective objective) {
        if (error != null && error.status() < SERVER_ERROR) {
            return Option.none();
        }
        long now = clock.millis();
        boolean whole = error == null && status > 0 && status < SERVER_ERROR && now <= routed.deadlineMillis();
        long first = (pieces == 0 ? now : firstMillis) - arrivedMillis;
        double between = pieces < 2 ? RequestOutcome.NOT_MEASURED : (double) (lastMillis - firstMillis) / (pieces - 1);
        return Option.of(new RequestOutcome(
                routed.route().service(),
                routed.account().id(),
                objective,
                whole,
                whole ? first : RequestOutcome.NOT_MEASURED,
                whole ? between : RequestOutcome.NOT_MEASURED));
    }
}
