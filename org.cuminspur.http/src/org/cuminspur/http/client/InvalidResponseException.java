package org.cuminspur.http.client;

import java.io.IOException;

/**
 * Thrown if what another process sent is not a valid response in HTTP/1.1.
 *
 * <p>Immutable. The message quotes at most {@link #MAX_QUOTED} characters of what was sent, with all but printable ASCII
 * escaped, so it can be logged.
 */
public final class InvalidResponseException extends IOException {
    private static final long serialVersionUID = 1;
    private static final int MAX_QUOTED = 80;

    public InvalidResponseException(String message) {
        super(message);
    }

    /**
     * Creates an exception that quotes what is invalid.
     *
     * @param quoted characters as received, each from one byte
     */
    public InvalidResponseException(String message, String quoted) {
        super(message + ": \"" + escaped(quoted) + "\"");
    }

    private static String escaped(String quoted) {
        StringBuilder escaped = new StringBuilder();
        quoted.chars().limit(MAX_QUOTED).forEach(next -> {
            if (next < ' ' || next > '~' || next == '"' || next == '\\') {
                escaped.append(String.format("\\x%02x", next));
            } else {
                escaped.append((char) next);
            }
        });
        return escaped.append(quoted.length() > MAX_QUOTED ? "..." : "").toString();
    }
}
