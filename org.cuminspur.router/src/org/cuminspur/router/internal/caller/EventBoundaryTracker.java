package org.cuminspur.router.internal.caller;

import java.nio.ByteBuffer;

/**
 * Tracks whether the bytes of an event stream end inside an event.
 *
 * <p>Used by one thread. An event ends with an empty line; a line ends with CR, LF or both.
 */
public final class EventBoundaryTracker {
    private boolean insideEvent;
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

    private void add(byte next) {
        boolean secondOfLineEnd = next == '\n' && afterCarriageReturn;
        afterCarriageReturn = next == '\r';
        if (secondOfLineEnd) {
            return;
        }
        if (next == '\n' || next == '\r') {
            insideEvent &= !lineEmpty;
            lineEmpty = true;
        } else {
            insideEvent = true;
            lineEmpty = false;
        }
    }
}
