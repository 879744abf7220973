package org.cuminspur.router.internal.traffic;

import java.nio.ByteBuffer;
import java.util.OptionalLong;
import org.cuminspur.router.internal.caller.EventSplitter;

/**
 * Passes an answer's body on, through several upstreams if its stream is resumed.
 *
 * <p>Not thread-safe. Of a stream that may be resumed only whole events are passed on; any other body goes on as it
 * comes.
 */
final class EventRelay {
    private EventSplitter events;
    private boolean begun;

    /** Begins the answer. */
    void begin(boolean resumable) {
        begun = true;
        events = resumable ? new EventSplitter() : null;
    }

    /** Returns whether the answer has begun. */
    boolean begun() {
        return begun;
    }

    /** Expects the next bytes to continue the stream after the last event passed on. */
    void resumed() {
        events.expectContinuation();
    }

    /** Takes bytes and returns those to pass on. */
    ByteBuffer take(ByteBuffer bytes) {
        if (events == null) {
            return bytes;
        }
        byte[] piece = new byte[bytes.remaining()];
        bytes.get(piece);
        return ByteBuffer.wrap(events.feed(piece));
    }

    /** Returns the bytes after the last whole event, to pass on when the answer is whole. */
    ByteBuffer rest() {
        return ByteBuffer.wrap(events == null ? new byte[0] : events.incompleteEvent());
    }

    /** Returns whether the stream went on elsewhere than asked, so that it cannot be passed on. */
    boolean lost() {
        return events != null && events.failed();
    }

    /** Returns the id of the event after which the stream can go on, if there is one. */
    OptionalLong resumePoint() {
        return events == null ? OptionalLong.empty() : events.resumePoint();
    }
}
