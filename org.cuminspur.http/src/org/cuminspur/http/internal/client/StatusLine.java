package org.cuminspur.http.internal.client;

import org.cuminspur.http.client.InvalidResponseException;

/**
 * The first line of a head; immutable.
 *
 * @param minorVersion 0 for HTTP/1.0, higher for later versions
 * @param status 100 to 599
 * @param reason may be empty
 */
record StatusLine(int minorVersion, int status, String reason) {
    private static final String MAJOR_VERSION = "HTTP/1.";
    private static final int MINOR_VERSION_AT = MAJOR_VERSION.length();
    private static final int STATUS_AT = MINOR_VERSION_AT + 2;
    private static final int STATUS_END = STATUS_AT + 3;
    private static final int MIN_STATUS = 100;
    private static final int SWITCHING_PROTOCOLS = 101;
    private static final int MIN_FINAL_STATUS = 200;
    private static final int MAX_STATUS = 599;

    /**
     * Parses a line as RFC 9112 defines it, also one that ends with its status.
     *
     * <p>RFC 9110 lets a client process a status below 100 or over 599 as 5xx. A server that sends one has failed, so nothing
     * else that it says of the request is believed. No request here asks for another protocol, so 101 is invalid too.
     */
    static StatusLine parse(String line) throws InvalidResponseException {
        if (!isWellFormed(line)) {
            throw new InvalidResponseException("invalid status line", line);
        }
        int status = Integer.parseInt(line.substring(STATUS_AT, STATUS_END));
        if (status < MIN_STATUS || status > MAX_STATUS || status == SWITCHING_PROTOCOLS) {
            throw new InvalidResponseException("invalid status", line);
        }
        String reason = line.length() == STATUS_END ? "" : line.substring(STATUS_END + 1);
        return new StatusLine(line.charAt(MINOR_VERSION_AT) - '0', status, reason);
    }

    private static boolean isWellFormed(String line) {
        return line.length() >= STATUS_END
                && line.startsWith(MAJOR_VERSION)
                && isDigit(line.charAt(MINOR_VERSION_AT))
                && line.charAt(STATUS_AT - 1) == ' '
                && line.chars().skip(STATUS_AT).limit(STATUS_END - STATUS_AT).allMatch(StatusLine::isDigit)
                && (line.length() == STATUS_END || line.charAt(STATUS_END) == ' ')
                && HttpGrammar.isText(line, STATUS_END);
    }

    private static boolean isDigit(int character) {
        return character >= '0' && character <= '9';
    }

    /** Returns whether another head follows, that of the final response. */
    boolean isInterim() {
        return status < MIN_FINAL_STATUS;
    }

    /** Returns the line in the form that any recipient understands. */
    String text() {
        return MAJOR_VERSION + Math.min(minorVersion, 1) + " " + status + " " + reason;
    }
}
