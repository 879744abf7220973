package org.cuminspur.router.internal.caller;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;

/**
 * Cuts the bytes of an event stream into whole events and follows their ids.
 *
 * <p>Used by one thread. Only whole events are given out, so that a stream can go on after any of them.
 */
public final class EventSplitter {
    private static final int MAX_EVENT_BYTES = 1_024 * 1_024;
    private static final String END_MARK = "[DONE]";

    private ByteArrayOutputStream waiting = new ByteArrayOutputStream();
    private OptionalLong lastId = OptionalLong.empty();
    private OptionalLong resumedAfter = OptionalLong.empty();
    private boolean idIsNewest;
    private boolean done;
    private boolean gap;

    /** Takes bytes and returns the whole events that they complete, possibly none. */
    public byte[] feed(byte[] piece) {
        waiting.writeBytes(piece);
        byte[] held = waiting.toByteArray();
        ByteArrayOutputStream whole = new ByteArrayOutputStream();
        int start = 0;
        for (int end = end(held, start); end > 0 && !gap; end = end(held, start)) {
            read(new String(held, start, end - start, StandardCharsets.UTF_8));
            if (!gap) {
                whole.write(held, start, end - start);
            }
            start = end;
        }
        waiting = new ByteArrayOutputStream();
        waiting.write(held, start, held.length - start);
        return whole.toByteArray();
    }

    /** Drops a part of an event and expects the stream to go on right after the last id. */
    public void expectContinuation() {
        waiting = new ByteArrayOutputStream();
        resumedAfter = lastId;
    }

    /** Returns the bytes after the last whole event. */
    public byte[] incompleteEvent() {
        return waiting.toByteArray();
    }

    /** Returns the id of the last event, if it is a number and the event that came last has one. */
    public OptionalLong resumePoint() {
        return idIsNewest && !done && !gap ? lastId : OptionalLong.empty();
    }

    /** Returns whether the event that ends a model's answer has come. */
    public boolean endMarkerSeen() {
        return done;
    }

    /** Returns whether the stream cannot be followed: it went on elsewhere than asked, or an event is too large. */
    public boolean failed() {
        return gap || waiting.size() > MAX_EVENT_BYTES;
    }

    private void read(String event) {
        idIsNewest = false;
        event.lines().forEach(this::readLine);
        if (resumedAfter.isPresent()) {
            // Without an id of its own, what comes first cannot be told from a part that the caller already has.
            gap = !idIsNewest ? !done : lastId.getAsLong() != resumedAfter.getAsLong() + 1;
            resumedAfter = OptionalLong.empty();
        }
    }

    private void readLine(String line) {
        if (line.startsWith("id:")) {
            lastId = number(line.substring("id:".length()).strip());
            idIsNewest = lastId.isPresent();
        } else if (line.startsWith("data:")) {
            done |= line.substring("data:".length()).strip().equals(END_MARK);
        }
    }

    private static OptionalLong number(String text) {
        try {
            return OptionalLong.of(Long.parseLong(text));
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }

    /** Returns the position after the empty line that ends the event at {@code start}, 0 if there is none. */
    private static int end(byte[] held, int start) {
        for (int i = start; i < held.length - 1; i++) {
            boolean bare = held[i] == '\n' && held[i + 1] == '\n';
            boolean afterReturn = held[i] == '\n' && held[i + 1] == '\r' && i + 2 < held.length && held[i + 2] == '\n';
            if (bare || afterReturn) {
                return i + (bare ? 2 : 3);
            }
        }
        return 0;
    }
}
