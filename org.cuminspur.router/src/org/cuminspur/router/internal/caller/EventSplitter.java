package org.cuminspur.router.internal.caller;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;

/**
 * Splits the bytes of an event stream into complete events and tracks their ids.
 *
 * <p>Used by one thread. Only complete events are returned, so that a stream can be resumed after any of them.
 */
public final class EventSplitter {
    private static final int MAX_EVENT_BYTES = 1_024 * 1_024;
    private static final String END_MARKER = "[DONE]";

    private ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private OptionalLong lastId = OptionalLong.empty();
    private OptionalLong resumedAfter = OptionalLong.empty();
    private boolean lastEventHasId;
    private boolean ended;
    private boolean discontinuous;

    /** Adds bytes and returns the events that they complete, possibly none. */
    public byte[] feed(byte[] piece) {
        pending.writeBytes(piece);
        byte[] buffered = pending.toByteArray();
        ByteArrayOutputStream events = new ByteArrayOutputStream();
        int start = 0;
        for (int end = endOfEvent(buffered, start); end > 0 && !discontinuous; end = endOfEvent(buffered, start)) {
            readEvent(new String(buffered, start, end - start, StandardCharsets.UTF_8));
            if (!discontinuous) {
                events.write(buffered, start, end - start);
            }
            start = end;
        }
        pending = new ByteArrayOutputStream();
        pending.write(buffered, start, buffered.length - start);
        return events.toByteArray();
    }

    /** Discards an incomplete event and expects the stream to continue with the event after the last id. */
    public void expectContinuation() {
        pending = new ByteArrayOutputStream();
        resumedAfter = lastId;
    }

    /** Returns whether the stream was resumed and no event has come since. */
    public boolean awaitsContinuation() {
        return resumedAfter.isPresent();
    }

    /** Returns the bytes after the last complete event. */
    public byte[] incompleteEvent() {
        return pending.toByteArray();
    }

    /** Returns the id of the last event, if that event has a numeric id and the stream can be resumed. */
    public OptionalLong resumePoint() {
        return lastEventHasId && !ended && !discontinuous ? lastId : OptionalLong.empty();
    }

    /** Returns whether the event that ends an engine's answer was received. */
    public boolean endMarkerSeen() {
        return ended;
    }

    /** Returns whether the stream cannot be used: it was resumed at the wrong event, or an event is too large. */
    public boolean failed() {
        return discontinuous || pending.size() > MAX_EVENT_BYTES;
    }

    private void readEvent(String event) {
        lastEventHasId = false;
        event.lines().forEach(this::readLine);
        if (resumedAfter.isPresent()) {
            // Without an id, the first event cannot be told from one that the caller already has.
            discontinuous = !lastEventHasId ? !ended : lastId.getAsLong() != resumedAfter.getAsLong() + 1;
            resumedAfter = OptionalLong.empty();
        }
    }

    private void readLine(String line) {
        if (line.startsWith("id:")) {
            lastId = parseId(line.substring("id:".length()).strip());
            lastEventHasId = lastId.isPresent();
        } else if (line.startsWith("data:")) {
            ended |= line.substring("data:".length()).strip().equals(END_MARKER);
        }
    }

    private static OptionalLong parseId(String text) {
        try {
            return OptionalLong.of(Long.parseLong(text));
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }

    /** Returns the position after the empty line that ends the event at {@code start}, 0 if there is none. */
    private static int endOfEvent(byte[] buffered, int start) {
        for (int i = start; i < buffered.length - 1; i++) {
            boolean lfOnly = buffered[i] == '\n' && buffered[i + 1] == '\n';
            boolean crLf = buffered[i] == '\n'
                    && buffered[i + 1] == '\r'
                    && i + 2 < buffered.length
                    && buffered[i + 2] == '\n';
            if (lfOnly || crLf) {
                return i + (lfOnly ? 2 : 3);
            }
        }
        return 0;
    }
}
