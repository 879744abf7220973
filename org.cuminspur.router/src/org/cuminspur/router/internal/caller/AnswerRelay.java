package org.cuminspur.router.internal.caller;

import com.codahale.metrics.MetricRegistry;
import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.OptionalLong;
import org.cuminspur.http.client.BodyEnd;
import org.cuminspur.http.client.CallFault;
import org.cuminspur.http.client.Cancellation;
import org.cuminspur.http.client.HttpResponseStream;
import org.cuminspur.once.StoredAnswer;
import org.cuminspur.retry.AttemptEvent;
import org.cuminspur.time.Clock;

/**
 * Relays an upstream's answer to the caller, over several upstream streams if it is resumed.
 *
 * <p>Used by one worker thread. Event streams are relayed in whole events only. An engine's event stream is complete
 * after its end marker, any other stream when its HTTP framing ends outside an event, any other answer when its
 * HTTP framing ends.
 */
final class AnswerRelay {
    private final RoutedRequest routed;
    private final CallerAnswer answer;
    private final Clock clock;
    private final Cancellation cancellation;
    private final MetricRegistry metrics;
    private EventSplitter events = new EventSplitter();
    private EventBoundaryTracker boundary = new EventBoundaryTracker();
    private BoundedBodyBuffer storedBody = new BoundedBodyBuffer();
    private HttpResponseStream stream;
    private boolean engine;
    private boolean eventStream;
    private boolean continuing;
    private boolean complete;

    /**
     * Creates a relay.
     *
     * @param cancellation cancelled when the answer is no longer needed
     */
    AnswerRelay(
            RoutedRequest routed, CallerAnswer answer, Clock clock, Cancellation cancellation, MetricRegistry metrics) {
        this.routed = routed;
        this.answer = answer;
        this.clock = clock;
        this.cancellation = cancellation;
        this.metrics = metrics;
    }

    /** Relays an answer until it ends and returns how it ended. */
    AttemptEvent relay(HttpResponseStream source, boolean fromEngine) {
        stream = source;
        engine = fromEngine;
        if (!continuing) {
            events = new EventSplitter();
            boundary = new EventBoundaryTracker();
            storedBody = new BoundedBodyBuffer();
            eventStream = EventStreams.isEventStream(source.headers());
            answer.begin(source.status(), EndToEndHeaders.forwarded(source.headers()));
        }
        AttemptEvent end = relayPieces();
        complete = end instanceof AttemptEvent.AnswerCompleted;
        return end;
    }

    /** Returns the id of the event after which the answer can be resumed, if it can. */
    OptionalLong resumePoint() {
        boolean mayResume = eventStream && engine && routed.route().idempotent();
        return mayResume ? events.resumePoint() : OptionalLong.empty();
    }

    /** Expects the next stream to continue this answer. */
    void expectContinuation() {
        continuing = true;
        boundary = new EventBoundaryTracker();
        events.expectContinuation();
    }

    /** Returns whether the whole answer was relayed. */
    boolean complete() {
        return complete;
    }

    /** Returns the answer for the idempotency ledger, if it is complete and can be stored. */
    Optional<StoredAnswer> storableAnswer() {
        if (!complete) {
            return Optional.empty();
        }
        String type = stream.header("Content-Type").orElse("");
        return storedBody.text().map(text -> new StoredAnswer(stream.status(), type, text));
    }

    private AttemptEvent relayPieces() {
        while (true) {
            Either<CallFault, byte[]> piece = stream.next(Math.max(1, routed.deadlineMillis() - clock.millis()));
            if (piece.isLeft()) {
                countEnd(piece.getLeft() == CallFault.BROKEN ? BodyEnd.BROKEN : BodyEnd.ABORTED);
                return onEnd(piece.getLeft());
            } else if (piece.get().length == 0) {
                return onBodyEnd();
            }
            boundary.add(ByteBuffer.wrap(piece.get()));
            boolean callerPresent = write(eventStream ? events.feed(piece.get()) : piece.get());
            if (!callerPresent) {
                return new AttemptEvent.CallerGone();
            } else if (eventStream && events.failed()) {
                return new AttemptEvent.BrokenDuringAnswer(false);
            }
        }
    }

    private void countEnd(BodyEnd end) {
        metrics.counter(ResponseEndCounters.upstream(stream.framing(), end)).inc();
    }

    /** Writes to the caller; returns false once the request is cancelled. */
    private boolean write(byte[] piece) {
        if (!routed.route().idempotent()) {
            storedBody.add(piece);
        }
        if (piece.length > 0) {
            answer.write(piece);
        }
        return !cancellation.cancelled();
    }

    private AttemptEvent onBodyEnd() {
        countEnd(BodyEnd.COMPLETE);
        if (!eventStream) {
            return new AttemptEvent.AnswerCompleted();
        } else if (engine) {
            return events.endMarkerSeen() ? new AttemptEvent.AnswerCompleted() : brokenAnswer();
        } else if (!boundary.isComplete(BodyEnd.COMPLETE)) {
            return brokenAnswer();
        }
        return write(events.incompleteEvent()) ? new AttemptEvent.AnswerCompleted() : new AttemptEvent.CallerGone();
    }

    private AttemptEvent onEnd(CallFault fault) {
        if (cancellation.cancelled()) {
            return new AttemptEvent.CallerGone();
        } else if (eventStream && engine && events.endMarkerSeen()) {
            return new AttemptEvent.AnswerCompleted();
        } else if (fault == CallFault.TIMED_OUT) {
            return answer.started() ? new AttemptEvent.TimedOutDuringAnswer() : new AttemptEvent.TimedOutBeforeAnswer();
        }
        return brokenAnswer();
    }

    private AttemptEvent brokenAnswer() {
        return answer.started()
                ? new AttemptEvent.BrokenDuringAnswer(resumePoint().isPresent())
                : new AttemptEvent.BrokenBeforeAnswer();
    }
}
