package org.cuminspur.http.internal.client;

import java.nio.ByteBuffer;
import org.cuminspur.http.client.InvalidResponseException;

/** Follows a chunked body and rejects it if its framing is invalid; not thread-safe. */
final class ChunkedBody {
    /** What the next bytes are. */
    private enum Part {
        SIZE,
        DATA,
        END_OF_DATA,
        TRAILERS,
        NONE
    }

    private final LineReader lines = new LineReader();
    private Part part = Part.SIZE;
    private long remaining;

    /**
     * Takes received bytes up to the end of the body, or up to those that are invalid if it throws.
     *
     * @return whether the body has ended
     */
    boolean read(ByteBuffer bytes) throws InvalidResponseException {
        while (bytes.hasRemaining() && part != Part.NONE) {
            if (part == Part.DATA) {
                int taken = (int) Math.min(remaining, bytes.remaining());
                bytes.position(bytes.position() + taken);
                remaining -= taken;
                part = remaining == 0 ? Part.END_OF_DATA : Part.DATA;
            } else {
                readLine(bytes);
            }
        }
        return part == Part.NONE;
    }

    private void readLine(ByteBuffer bytes) throws InvalidResponseException {
        int start = bytes.position();
        try {
            String line = lines.next(bytes);
            if (line != null) {
                part = after(line);
            }
        } catch (InvalidResponseException e) {
            bytes.position(start);
            throw e;
        }
    }

    private Part after(String line) throws InvalidResponseException {
        return switch (part) {
            case SIZE -> {
                remaining = size(line);
                yield remaining == 0 ? Part.TRAILERS : Part.DATA;
            }
            case END_OF_DATA -> {
                if (!line.isEmpty()) {
                    throw new InvalidResponseException("bytes behind the data of a chunk", line);
                }
                yield Part.SIZE;
            }
            case TRAILERS -> {
                if (line.isEmpty()) {
                    yield Part.NONE;
                }
                FieldLine.parse(line);
                yield Part.TRAILERS;
            }
            case DATA, NONE -> throw new IllegalStateException("no line is expected");
        };
    }

    /** Returns the size that a line states; blanks are allowed before the semicolon of an extension only. */
    private static long size(String line) throws InvalidResponseException {
        int extension = line.indexOf(';');
        int end = extension < 0 ? line.length() : extension;
        while (extension >= 0 && end > 0 && HttpGrammar.isBlank(line.charAt(end - 1))) {
            end--;
        }
        if (!HttpGrammar.isText(line, end)) {
            throw new InvalidResponseException("control character in a chunk extension", line);
        }
        return HttpGrammar.number(line.substring(0, end), HttpGrammar.HEXADECIMAL)
                .orElseThrow(() -> new InvalidResponseException("invalid chunk size", line));
    }
}
