package org.cuminspur.soak.internal;

import java.io.IOException;
import java.util.Optional;
import java.util.stream.Stream;
import org.cuminspur.standin.raw.BrokenBody;
import org.cuminspur.standin.raw.BrokenHead;
import org.cuminspur.standin.raw.RawUpstream.Connection;

/**
 * An answer that is no valid response, chosen by the id of its request; immutable.
 *
 * @param head empty if only the body is broken
 * @param body empty if the head is broken
 */
record SpoiledAnswer(Optional<BrokenHead> head, Optional<BrokenBody> body) {
    private static final int ROWS = BrokenHead.values().length + BrokenBody.values().length;

    /** Returns the answer to a request, or none for one in two, whose answers are cut off. */
    static Optional<SpoiledAnswer> choose(String requestId) {
        int draw = Math.floorMod(requestId.hashCode() / SoakUpstream.SPOILED_EVERY, 2 * ROWS);
        return Stream.of(BrokenHead.values(), BrokenBody.values())
                .flatMap(Stream::of)
                .skip(draw)
                .map(row -> row instanceof BrokenHead broken
                        ? new SpoiledAnswer(Optional.of(broken), Optional.empty())
                        : new SpoiledAnswer(Optional.empty(), Optional.of((BrokenBody) row)))
                .findFirst();
    }

    /**
     * Sends the answer.
     *
     * @param headers complete lines that a whole answer has too
     * @param before part of the body that comes before what is broken of it, may be empty
     */
    void send(Connection connection, String headers, String before) throws IOException {
        if (head.isPresent()) {
            connection.sendBytes(head.get().text(headers));
            return;
        }
        String chunk = before.isEmpty() ? "" : Integer.toHexString(before.length()) + "\r\n" + before + "\r\n";
        connection.sendBytes("HTTP/1.1 200 OK\r\n" + headers + BrokenBody.HEADER + "\r\n" + chunk
                + body.map(BrokenBody::text).orElse(""));
    }
}
