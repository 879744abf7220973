package org.cuminspur.router.internal.traffic;

import java.nio.ByteBuffer;
import java.util.OptionalLong;
import org.cuminspur.http.client.BodyEnd;
import org.cuminspur.router.internal.caller.EventBoundaryTracker;
import org.cuminspur.router.internal.caller.EventSplitter;

/**
 * Relays a response's body, from several upstreams if its stream is resumed.
 *
 * <p>Not thread-safe. Of a resumable stream, only complete events are relayed; any other body is relayed as it
 * arrives.
 */
final class BodyRelay {
    private EventSplitter splitter;
    private EventBoundaryTracker boundary;
    private boolean begun;

    /** Begins the response. */
    void begin(boolean eventStream, boolean resumable) {
        begun = true;
        boundary = eventStream ? new EventBoundaryTracker() : null;
        splitter = resumable ? new EventSplitter() : null;
    }

    /** Returns whether the response has begun. */
    boolean begun() {
        return begun;
    }

    /** Returns whether the response is a stream that another upstream may resume. */
    boolean resumable() {
        return splitter != null;
    }

    /** Expects the next bytes to continue the stream after the last relayed event. */
    void resumed() {
        splitter.expectContinuation();
        boundary = new EventBoundaryTracker();
    }

    /** Takes received bytes and returns those to relay. */
    ByteBuffer take(ByteBuffer bytes) {
        if (boundary != null) {
            boundary.add(bytes);
        }
        if (splitter == null) {
            return bytes;
        }
        byte[] piece = new byte[bytes.remaining()];
        bytes.get(piece);
        return ByteBuffer.wrap(splitter.feed(piece));
    }

    /** Returns the bytes after the last complete event, to relay once the response is complete. */
    ByteBuffer remainder() {
        return ByteBuffer.wrap(splitter == null ? new byte[0] : splitter.incompleteEvent());
    }

    /** Returns whether the bytes received so far end inside an event of a stream. */
    boolean insideEvent() {
        return boundary != null && boundary.insideEvent();
    }

    /**
     * Returns whether a response whose body ends in this way is complete.
     *
     * <p>A stream that broke off is not complete before another event has come: an upstream that fails may answer with an empty
     * stream too.
     */
    boolean isComplete(BodyEnd end) {
        return boundary == null || (boundary.isComplete(end) && !awaitsContinuation());
    }

    private boolean awaitsContinuation() {
        return splitter != null && splitter.awaitsContinuation();
    }

    /** Returns whether the resumed stream has a gap, so that it cannot be relayed. */
    boolean hasGap() {
        return splitter != null && splitter.failed();
    }

    /** Returns the id of the event after which the stream can be resumed, if there is one. */
    OptionalLong resumePoint() {
        return splitter == null ? OptionalLong.empty() : splitter.resumePoint();
    }
}
