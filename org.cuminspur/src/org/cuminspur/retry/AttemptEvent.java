package org.cuminspur.retry;

import org.cuminspur.errors.Refusal;

/** An event of an attempt to serve a request at an upstream; each kind is an immutable record. */
public sealed interface AttemptEvent {
    /** No upstream can take the request. */
    record NoUpstream() implements AttemptEvent {}

    /** Too little time is left to send the request. */
    record TooLateToSend() implements AttemptEvent {}

    /** No connection could be made, so no byte of the request was sent. */
    record NotConnected() implements AttemptEvent {}

    /** The connection broke after the request was sent in part or whole, before an answer began. */
    record BrokenBeforeAnswer() implements AttemptEvent {}

    /**
     * The connection to another instance broke before an answer began.
     *
     * @param runs the number of upstreams that may have run the request meanwhile
     */
    record PeerBroken(int runs) implements AttemptEvent {}

    /** The deadline passed after the request was sent, before an answer began. */
    record TimedOutBeforeAnswer() implements AttemptEvent {}

    /** An answer began. */
    record AnswerStarted() implements AttemptEvent {}

    /**
     * The upstream answered that it cannot serve the request now, with status 429 or 503.
     *
     * @param notRun whether the upstream states that the request was not run
     * @param retryAfterMillis delay that it asks for before a retry
     */
    record Refused(boolean notRun, long retryAfterMillis) implements AttemptEvent {}

    /** The upstream ran the request and answered that it failed, with a status of 500 or more. */
    record ServerError() implements AttemptEvent {}

    /**
     * The upstream's process ended, or may end, because of this request.
     *
     * @param answerBegan whether part of an answer has been passed on
     */
    record CrashSuspected(boolean answerBegan) implements AttemptEvent {}

    /** The request is held back from all upstreams, for the reason that the refusal states. */
    record HeldBack(Refusal refusal) implements AttemptEvent {}

    /**
     * The connection broke after the answer began.
     *
     * @param resumable whether the upstream can continue exactly where the caller's part of the answer ends
     */
    record BrokenDuringAnswer(boolean resumable) implements AttemptEvent {}

    /** The deadline passed after the answer began. */
    record TimedOutDuringAnswer() implements AttemptEvent {}

    /** The whole answer was passed on. */
    record AnswerCompleted() implements AttemptEvent {}

    /**
     * This instance ends, as the time of a planned stop is over.
     *
     * @param sent whether a part of the request may have been sent to an upstream that has not answered
     * @param answerBegan whether part of an answer has been passed on
     */
    record InstanceStops(boolean sent, boolean answerBegan) implements AttemptEvent {}

    /** The caller disconnected. */
    record CallerGone() implements AttemptEvent {}
}
