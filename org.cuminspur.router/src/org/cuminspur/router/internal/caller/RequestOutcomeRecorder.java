package org.cuminspur.router.internal.caller;

import io.vavr.control.Option;
import org.cuminspur.config.Objective;
import org.cuminspur.errors.ErrorKind;
import org.cuminspur.slo.RequestOutcome;
import org.cuminspur.time.Clock;

/**
 * Records the status and timing of one answer for the service's objective.
 *
 * <p>Used by the worker thread that serves the request. Requests refused for a caller error have no outcome.
 */
final class RequestOutcomeRecorder {
    private static final int SERVER_ERROR = 500;

    private final Clock clock;
    private final long arrivedMillis;
    private int status;
    private int pieces;
    private long firstPieceMillis;
    private long lastPieceMillis;
    private ErrorKind error;

    RequestOutcomeRecorder(Clock clock) {
        this.clock = clock;
        this.arrivedMillis = clock.millis();
    }

    void recordStatus(int answerStatus) {
        status = answerStatus;
    }

    /** Records that a piece of the body was written just now. */
    void recordPiece() {
        lastPieceMillis = clock.millis();
        firstPieceMillis = pieces == 0 ? lastPieceMillis : firstPieceMillis;
        pieces++;
    }

    /** Records that the request was refused or its answer aborted. */
    void recordRefusal(ErrorKind kind) {
        error = kind;
    }

    /** Returns the outcome; called after the answer has ended. */
    Option<RequestOutcome> outcome(RoutedRequest routed, Objective objective) {
        if (error != null && error.status() < SERVER_ERROR) {
            return Option.none();
        }
        long now = clock.millis();
        boolean good = error == null && status > 0 && status < SERVER_ERROR && now <= routed.deadlineMillis();
        long firstByteMillis = (pieces == 0 ? now : firstPieceMillis) - arrivedMillis;
        double intervalMillis =
                pieces < 2 ? RequestOutcome.NOT_MEASURED : (double) (lastPieceMillis - firstPieceMillis) / (pieces - 1);
        return Option.of(new RequestOutcome(
                routed.route().service(),
                routed.account().id(),
                objective,
                good,
                good ? firstByteMillis : RequestOutcome.NOT_MEASURED,
                good ? intervalMillis : RequestOutcome.NOT_MEASURED));
    }
}
