package org.cuminspur.http.internal.client;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.cuminspur.http.client.InvalidResponseException;

/**
 * Parses the head of the final response to one request and rejects an invalid one.
 *
 * <p>Not thread-safe; used for one response. Heads of interim responses are checked and dropped.
 */
final class ResponseHeadParser {
    private static final String LINE_END = "\r\n";

    private final LineReader lines = new LineReader();
    private final StringBuilder text = new StringBuilder();
    private StatusLine statusLine;

    /**
     * Reads up to the end of the head of the final response.
     *
     * @return whether that end was reached
     */
    boolean read(ByteBuffer bytes) throws InvalidResponseException {
        for (String line = lines.next(bytes); line != null; line = lines.next(bytes)) {
            if (statusLine == null) {
                statusLine = StatusLine.parse(line);
                text.append(statusLine.text()).append(LINE_END);
            } else if (!line.isEmpty()) {
                FieldLine field = FieldLine.parse(line);
                text.append(field.name()).append(": ").append(field.value()).append(LINE_END);
            } else if (statusLine.isInterim()) {
                statusLine = null;
                text.setLength(0);
            } else {
                return true;
            }
        }
        return false;
    }

    /** Returns whether a head has begun and not ended. */
    boolean insideHead() {
        return statusLine != null || lines.insideLine();
    }

    /** Returns the head, once it is complete. */
    byte[] head() {
        return (text + LINE_END).getBytes(StandardCharsets.ISO_8859_1);
    }
}
