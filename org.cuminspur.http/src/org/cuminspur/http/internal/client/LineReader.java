package org.cuminspur.http.internal.client;

import java.nio.ByteBuffer;
import org.cuminspur.http.client.InvalidResponseException;

/**
 * Collects the lines of a response's head, chunk framing or trailers; not thread-safe.
 *
 * <p>A line ends with CR LF only. RFC 9112 lets a recipient accept LF alone, but then two recipients may not agree on
 * where a field ends. The length of a line is bounded by {@link FramingGuard}.
 */
final class LineReader {
    private static final char CR = '\r';
    private static final char LF = '\n';
    private static final int BYTE_MASK = 0xff;

    private final StringBuilder line = new StringBuilder();
    private boolean afterCarriageReturn;

    /**
     * Returns the next line without its end, one character for each byte, or null if more bytes are needed.
     *
     * @param bytes read up to the end of the line
     */
    String next(ByteBuffer bytes) throws InvalidResponseException {
        while (bytes.hasRemaining()) {
            char next = (char) (bytes.get() & BYTE_MASK);
            if (afterCarriageReturn != (next == LF)) {
                throw new InvalidResponseException(
                        "CR or LF alone", line.toString() + (afterCarriageReturn ? CR : "") + next);
            }
            if (next == LF) {
                String complete = line.toString();
                line.setLength(0);
                afterCarriageReturn = false;
                return complete;
            }
            afterCarriageReturn = next == CR;
            if (!afterCarriageReturn) {
                line.append(next);
            }
        }
        return null;
    }

    /** Returns whether a line has begun and not ended. */
    boolean insideLine() {
        return line.length() > 0 || afterCarriageReturn;
    }
}
