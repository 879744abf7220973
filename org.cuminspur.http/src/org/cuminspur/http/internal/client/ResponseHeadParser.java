package org.cuminspur.http.internal.client;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.cuminspur.http.client.InvalidResponseException;

/**
 * Parses the head of the final response to one request and rejects an invalid one.
 *
 * <p>Not thread-safe; used for one response. Heads of interim responses are checked and dropped. The head is written out anew,
 * so that the next reader of it cannot find another end of the body than was found here.
 */
final class ResponseHeadParser {
    private static final String CONTENT_LENGTH = "Content-Length";
    private static final String TRANSFER_ENCODING = "Transfer-Encoding";
    private static final String CHUNKED = "chunked";
    private static final String LINE_END = "\r\n";
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    private final boolean headRequest;
    private final LineReader lines = new LineReader();
    private final StringBuilder text = new StringBuilder();
    private final List<String> lengths = new ArrayList<>();
    private final List<String> codings = new ArrayList<>();
    private StatusLine statusLine;

    /**
     * Creates a parser.
     *
     * @param headRequest whether the request asks for a head only
     */
    ResponseHeadParser(boolean headRequest) {
        this.headRequest = headRequest;
    }

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
                add(FieldLine.parse(line));
            } else if (statusLine.isInterim()) {
                statusLine = null;
                text.setLength(0);
                Stream.of(lengths, codings).forEach(List::clear);
            } else {
                addFraming();
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

    /** Returns whether a chunked body follows, once the head is complete. */
    boolean chunkedBodyFollows() {
        return !codings.isEmpty() && mayHaveBody();
    }

    private boolean mayHaveBody() {
        return !headRequest && statusLine.status() != NO_CONTENT && statusLine.status() != NOT_MODIFIED;
    }

    private void add(FieldLine field) {
        if (field.is(CONTENT_LENGTH)) {
            lengths.addAll(listed(field));
        } else if (field.is(TRANSFER_ENCODING)) {
            codings.addAll(listed(field));
        } else {
            write(field.name(), field.value());
        }
    }

    private static List<String> listed(FieldLine field) {
        return Stream.of(field.value().split(",", -1))
                .map(element -> HttpGrammar.withoutBlanks(element, 0))
                .toList();
    }

    private void write(String name, String value) {
        text.append(name).append(": ").append(value).append(LINE_END);
    }

    /** Writes the field that marks the end of the body, as RFC 9112 section 6.3 decides it; 204 has none. */
    private void addFraming() throws InvalidResponseException {
        if (statusLine.status() == NO_CONTENT) {
            return;
        }
        if (!codings.isEmpty()) {
            checkChunked();
            write(TRANSFER_ENCODING, CHUNKED);
        } else if (!lengths.isEmpty()) {
            write(CONTENT_LENGTH, Long.toString(length()));
        }
    }

    /** Accepts no coding but chunked, since no request here names others in TE. */
    private void checkChunked() throws InvalidResponseException {
        if (codings.size() != 1 || !codings.get(0).equalsIgnoreCase(CHUNKED)) {
            throw new InvalidResponseException("transfer codings other than chunked, once", String.join(",", codings));
        }
        if (!lengths.isEmpty()) {
            throw new InvalidResponseException("length beside a transfer coding", String.join(",", lengths));
        }
        if (statusLine.minorVersion() == 0) {
            throw new InvalidResponseException("transfer coding in HTTP/1.0", statusLine.text());
        }
    }

    private long length() throws InvalidResponseException {
        long first = parseLength(lengths.get(0));
        for (String other : lengths) {
            if (parseLength(other) != first) {
                throw new InvalidResponseException("lengths that differ", String.join(",", lengths));
            }
        }
        return first;
    }

    private static long parseLength(String digits) throws InvalidResponseException {
        return HttpGrammar.number(digits, HttpGrammar.DECIMAL)
                .orElseThrow(() -> new InvalidResponseException("invalid length", digits));
    }
}
