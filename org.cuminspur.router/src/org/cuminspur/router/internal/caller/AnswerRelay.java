package org.cuminspur.router.internal.caller;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.OptionalLong;
import org.cuminspur.http.client.CallFault;
import org.cuminspur.http.client.Cancellation;
import org.cuminspur.http.client.HttpResponseStream;
import org.cuminspur.once.StoredAnswer;
import org.cuminspur.retry.AttemptEvent;
import org.cuminspur.time.Clock;

/**
 * Passes an upstream's answer on to the caller, through several streams if it is resumed.
 *
 * <p>Used by one worker thread. Of an event stream only whole events are passed on. A model's stream is whole once its
 * end mark has come, any other answer once its framing says so.
 */
final class AnswerRelay {
    private final RoutedRequest routed;
    private final CallerAnswer answer;
    private final Clock clock;
    private final Cancellation cancellation;
    private EventSplitter events = new EventSplitter();
    private BoundedBodyBuffer kept = new BoundedBodyBuffer();
    private HttpResponseStream stream;
    private boolean engine;
    private boolean eventStream;
    private boolean resuming;
    private boolean whole;

    /**
     * Makes a relay.
     *
     * @param cancellation cancelled when nobody waits for the answer any more
     */
    AnswerRelay(RoutedRequest routed, CallerAnswer answer, Clock clock, Cancellation cancellation) {
        this.routed = routed;
        this.answer = answer;
        this.clock = clock;
        this.cancellation = cancellation;
    }

    /** Passes an answer on to its end and returns how it ended. */
    AttemptEvent relay(HttpResponseStream from, boolean fromEngine) {
        stream = from;
        engine = fromEngine;
        if (!resuming) {
            events = new EventSplitter();
            kept = new BoundedBodyBuffer();
            eventStream = EventStreams.isEventStream(from.headers());
            answer.begin(from.status(), EndToEndHeaders.forwarded(from.headers()));
        }
        AttemptEvent end = copy();
        whole = end instanceof AttemptEvent.AnswerCompleted;
        return end;
    }

    /** Returns the event id after which the answer can go on, if there is one. */
    OptionalLong resumePoint() {
        boolean mayResume = eventStream && engine && routed.route().idempotent();
        return mayResume ? events.resumePoint() : OptionalLong.empty();
    }

    /** Expects the next stream to continue the answer. */
    void expectContinuation() {
        resuming = true;
        events.expectContinuation();
    }

    /** Returns the whole answer, if it came and can be kept. */
    Optional<StoredAnswer> storableAnswer() {
        if (!whole) {
            return Optional.empty();
        }
        String type = stream.header("Content-Type").orElse("");
        return kept.text().map(text -> new StoredAnswer(stream.status(), type, text));
    }

    private AttemptEvent copy() {
        while (true) {
            Either<CallFault, byte[]> piece = stream.next(Math.max(1, routed.deadlineMillis() - clock.millis()));
            if (piece.isLeft()) {
                return ended(piece.getLeft());
            } else if (piece.get().length == 0) {
                return ended();
            }
            boolean wanted = write(eventStream ? events.feed(piece.get()) : piece.get());
            if (!wanted) {
                return new AttemptEvent.CallerGone();
            } else if (eventStream && events.failed()) {
                return new AttemptEvent.BrokenDuringAnswer(false);
            }
        }
    }

    /** Returns whether somebody still waits for the answer. */
    private boolean write(byte[] piece) {
        if (!routed.route().idempotent()) {
            kept.add(piece);
        }
        if (piece.length > 0) {
            answer.write(piece);
        }
        return !cancellation.cancelled();
    }

    private AttemptEvent ended() {
        if (!eventStream) {
            return new AttemptEvent.AnswerCompleted();
        } else if (engine) {
            return events.endMarkerSeen() ? new AttemptEvent.AnswerCompleted() : cut();
        }
        return write(events.incompleteEvent()) ? new AttemptEvent.AnswerCompleted() : new AttemptEvent.CallerGone();
    }

    private AttemptEvent ended(CallFault fault) {
        if (cancellation.cancelled()) {
            return new AttemptEvent.CallerGone();
        } else if (eventStream && events.endMarkerSeen()) {
            return new AttemptEvent.AnswerCompleted();
        } else if (fault == CallFault.TIMED_OUT) {
            return answer.started() ? new AttemptEvent.TimedOutDuringAnswer() : new AttemptEvent.TimedOutBeforeAnswer();
        }
        return cut();
    }

    private AttemptEvent cut() {
        return answer.started()
                ? new AttemptEvent.BrokenDuringAnswer(resumePoint().isPresent())
                : new AttemptEvent.BrokenBeforeAnswer();
    }
}
