package org.cuminspur.router.internal.caller;

import java.nio.ByteBuffer;
import org.cuminspur.http.client.BodyEnd;

/**
 * Tracks whether the bytes of an event stream end inside an event, and so whether the stream is complete.
 *
 * <p>Used by one thread. An event ends with an empty line; a line ends with CR, LF or both.
 */
public final class EventBoundaryTracker {
    private boolean insideEvent;
    private boolean eventSeen;
    private boolean lineEmpty = true;
    private boolean afterCarriageReturn;

    /** Adds the remaining bytes of a buffer, whose position stays. */
    public void add(ByteBuffer bytes) {
        for (int i = bytes.position(); i < bytes.limit(); i++) {
            add(bytes.get(i));
        }
    }

    /** Returns whether an event has begun and not ended. */
    public boolean insideEvent() {
        return insideEvent;
    }

    /**
     * Returns whether a stream that ends now is complete.
     *
     * <p>If the end of the connection is the only mark, a stream without any event counts as cut off.
     */
    public boolean isComplete(BodyEnd end) {
        return switch (end) {
            case COMPLETE -> !insideEvent;
            case CONNECTION_END -> !insideEvent && eventSeen;
            case NONE, BROKEN, ABORTED -> false;
        };
    }

    private void add(byte next) {
        boolean secondOfLineEnd = next == '\n' && afterCarriageReturn;
        afterCarriageReturn = next == '\r';
        if (secondOfLineEnd) {
            return;
        }
        if (next == '\n' || next == '\r') {
            eventSeen |= insideEvent && lineEmpty;
            insideEvent &= !lineEmpty;
            lineEmpty = true;
        } else {
            insideEvent = true;
            lineEmpty = false;
        }
    }
}
