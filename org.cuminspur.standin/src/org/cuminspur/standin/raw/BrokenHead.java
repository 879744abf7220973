package org.cuminspur.standin.raw;

/**
 * Responses whose head RFC 9112 or RFC 9110 calls invalid; immutable.
 *
 * <p>Each bears {@link #MARK} where its bytes could reach a caller.
 */
public enum BrokenHead {
    STATUS_000("HTTP/1.1 000 Any", Fields.LENGTH, Fields.BODY),
    STATUS_099("HTTP/1.1 099 Any", Fields.LENGTH, Fields.BODY),
    STATUS_600("HTTP/1.1 600 Any", Fields.LENGTH, Fields.BODY),
    STATUS_999("HTTP/1.1 999 Any", Fields.LENGTH, Fields.BODY),
    STATUS_OF_TWO_DIGITS("HTTP/1.1 20 OK", Fields.LENGTH, Fields.BODY),
    STATUS_OF_FOUR_DIGITS("HTTP/1.1 2000 OK", Fields.LENGTH, Fields.BODY),
    STATUS_WITH_SIGN("HTTP/1.1 +20 OK", Fields.LENGTH, Fields.BODY),
    STATUS_WITH_LETTER("HTTP/1.1 2O0 OK", Fields.LENGTH, Fields.BODY),
    STATUS_MISSING("HTTP/1.1 OK", Fields.LENGTH, Fields.BODY),
    STATUS_LINE_OF_VERSION("HTTP/1.1", Fields.LENGTH, Fields.BODY),
    SWITCHING_PROTOCOLS("HTTP/1.1 101 Switching Protocols", "Upgrade: other\r\nConnection: Upgrade\r\n", Fields.BODY),
    OTHER_MAJOR_VERSION("HTTP/2.0 200 OK", Fields.LENGTH, Fields.BODY),
    VERSION_IN_LOWER_CASE("http/1.1 200 OK", Fields.LENGTH, Fields.BODY),
    VERSION_OF_TWO_DIGITS("HTTP/1.10 200 OK", Fields.LENGTH, Fields.BODY),
    OTHER_PROTOCOL("ICY 200 OK", Fields.LENGTH, Fields.BODY),
    TWO_BLANKS_BEFORE_STATUS("HTTP/1.1  200 OK", Fields.LENGTH, Fields.BODY),
    TAB_BEFORE_STATUS("HTTP/1.1\t200 OK", Fields.LENGTH, Fields.BODY),
    BLANK_BEFORE_STATUS_LINE(" HTTP/1.1 200 OK", Fields.LENGTH, Fields.BODY),
    EMPTY_LINE_BEFORE_STATUS_LINE("\r\nHTTP/1.1 200 OK", Fields.LENGTH, Fields.BODY),
    CONTROL_BYTE_IN_REASON("HTTP/1.1 200 O\u0001K", Fields.LENGTH, Fields.BODY),
    CR_IN_REASON("HTTP/1.1 200 O\rK", Fields.LENGTH, Fields.BODY),
    LF_AFTER_STATUS_LINE("HTTP/1.1 200 OK\nX-A: b", Fields.LENGTH, Fields.BODY),

    STATUS_000_AFTER_100(Fields.CONTINUE + "HTTP/1.1 000 OK", Fields.LENGTH, Fields.BODY),
    STATUS_000_AFTER_103("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 000 OK", Fields.LENGTH, Fields.BODY),

    NO_COLON("X-Broken\r\n" + Fields.LENGTH),
    EMPTY_NAME(": broken\r\n" + Fields.LENGTH),
    BLANK_IN_NAME("X Broken: broken\r\n" + Fields.LENGTH),
    BLANK_AFTER_NAME("X-Broken : broken\r\n" + Fields.LENGTH),
    TAB_IN_NAME("X\tBroken: broken\r\n" + Fields.LENGTH),
    CONTROL_BYTE_IN_NAME("X-\u0001Broken: broken\r\n" + Fields.LENGTH),
    NUL_IN_NAME("X-\u0000Broken: broken\r\n" + Fields.LENGTH),
    DELETE_IN_NAME("X-Broken\u007f: broken\r\n" + Fields.LENGTH),
    CR_IN_NAME("X-\rBroken: broken\r\n" + Fields.LENGTH),
    NON_ASCII_IN_NAME("X-Br\u00f6ken: broken\r\n" + Fields.LENGTH),
    SEPARATOR_IN_NAME("X(Broken): broken\r\n" + Fields.LENGTH),
    CONTROL_BYTE_IN_VALUE("X-Broken: bro\u0001ken\r\n" + Fields.LENGTH),
    NUL_IN_VALUE("X-Broken: bro\u0000ken\r\n" + Fields.LENGTH),
    DELETE_IN_VALUE("X-Broken: bro\u007fken\r\n" + Fields.LENGTH),
    ESCAPE_IN_VALUE("X-Broken: \u001b[31mbroken\r\n" + Fields.LENGTH),
    CR_IN_VALUE("X-Broken: bro\rken\r\n" + Fields.LENGTH),
    CR_CR_LF_AFTER_VALUE("X-Broken: broken\r\r\n" + Fields.LENGTH),
    LF_AFTER_VALUE("X-Broken: broken\n" + Fields.LENGTH),
    LF_INSTEAD_OF_LAST_LINE("X-Broken: broken\r\nContent-Length: 11\r\n\n"),
    FOLDED_VALUE("X-Broken: broken\r\n more\r\n" + Fields.LENGTH),
    FOLDED_WITH_TAB("X-Broken: broken\r\n\tmore\r\n" + Fields.LENGTH),
    FOLDED_FIRST_LINE("HTTP/1.1 200 OK\r\n X-Broken: broken", Fields.LENGTH, Fields.BODY),
    FOLDED_LENGTH("Content-Length:\r\n 11\r\n"),
    BLANK_AFTER_NAME_OF_LENGTH("Content-Length : 11\r\n"),
    BLANK_IN_NAME_OF_LENGTH("Content Length: 11\r\n"),
    CONTROL_BYTE_IN_NAME_OF_LENGTH("Content-Len\u0001gth: 11\r\n"),
    CONTROL_BYTE_IN_NAME_OF_CODING("Transfer-\u0008Encoding: chunked\r\n", Fields.CHUNKED_BODY),
    BLANK_AFTER_NAME_OF_CODING("Transfer-Encoding : chunked\r\n", Fields.CHUNKED_BODY),
    NO_COLON_IN_103("HTTP/1.1 103 Early Hints\r\nX-Broken\r\n\r\nHTTP/1.1 200 OK", Fields.LENGTH, Fields.BODY),
    CONTROL_BYTE_IN_NAME_AFTER_103(
            "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK",
            "X-\u0001Broken: broken\r\n" + Fields.LENGTH,
            Fields.BODY),

    TWO_LENGTHS("Content-Length: 11\r\nContent-Length: 9\r\n"),
    TWO_LENGTHS_IN_A_LIST("Content-Length: 11, 9\r\n"),
    LENGTH_WITH_PLUS("Content-Length: +11\r\n"),
    LENGTH_WITH_MINUS("Content-Length: -11\r\n"),
    LENGTH_WITH_LETTER("Content-Length: 11x\r\n"),
    LENGTH_IN_HEXADECIMAL("Content-Length: 0xb\r\n"),
    LENGTH_WITH_FRACTION("Content-Length: 11.0\r\n"),
    LENGTH_WITH_BLANK("Content-Length: 1 1\r\n"),
    LENGTH_EMPTY("Content-Length:\r\n"),
    LENGTH_TOO_LARGE("Content-Length: 99999999999999999999999\r\n"),
    LENGTH_WITH_CONTROL_BYTE("Content-Length: \u000b11\r\n"),
    LENGTH_AND_CHUNKED(Fields.LENGTH + Fields.CHUNKED, Fields.CHUNKED_BODY),
    CHUNKED_AND_LENGTH(Fields.CHUNKED + Fields.LENGTH, Fields.CHUNKED_BODY),
    CHUNKED_AND_LENGTH_OF_CHUNKS(Fields.CHUNKED + "Content-Length: 21\r\n", Fields.CHUNKED_BODY),
    CODING_UNKNOWN("Transfer-Encoding: other\r\n"),
    CODING_UNKNOWN_WITH_LENGTH("Transfer-Encoding: other\r\n" + Fields.LENGTH),
    CODING_IDENTITY("Transfer-Encoding: identity\r\n"),
    CODING_EMPTY("Transfer-Encoding:\r\n"),
    CODING_MISSPELT("Transfer-Encoding: xchunked\r\n", Fields.CHUNKED_BODY),
    CODING_WITH_CONTROL_BYTE("Transfer-Encoding: \u000bchunked\r\n", Fields.CHUNKED_BODY),
    CODING_WITH_PARAMETER("Transfer-Encoding: chunked;q=1\r\n", Fields.CHUNKED_BODY),
    CODING_CHUNKED_TWICE(Fields.CHUNKED + Fields.CHUNKED, Fields.CHUNKED_BODY),
    CODING_CHUNKED_TWICE_IN_A_LIST("Transfer-Encoding: chunked, chunked\r\n", Fields.CHUNKED_BODY),
    CODING_CHUNKED_FIRST("Transfer-Encoding: chunked, gzip\r\n", Fields.CHUNKED_BODY),
    CODING_CHUNKED_FIRST_OF_TWO_LINES(Fields.CHUNKED + "Transfer-Encoding: gzip\r\n", Fields.CHUNKED_BODY),
    CODING_BEFORE_CHUNKED("Transfer-Encoding: gzip, chunked\r\n", Fields.CHUNKED_BODY),
    CHUNKED_IN_HTTP_1_0("HTTP/1.0 200 OK", Fields.CHUNKED, Fields.CHUNKED_BODY),
    LENGTH_AND_CHUNKED_AFTER_100(Fields.CONTINUE + "HTTP/1.1 200 OK", Fields.LENGTH + Fields.CHUNKED, Fields.BODY);

    /** Text of the body, which no caller may get. */
    public static final String MARK = "broken-body";

    private final String statusLine;
    private final String fields;
    private final String body;

    BrokenHead(String fields) {
        this(fields, Fields.BODY);
    }

    BrokenHead(String fields, String body) {
        this("HTTP/1.1 200 OK", fields, body);
    }

    BrokenHead(String statusLine, String fields, String body) {
        this.statusLine = statusLine;
        this.fields = fields;
        this.body = body;
    }

    /**
     * Returns the bytes of the response in ISO-8859-1.
     *
     * @param headers complete lines that a whole response to the request has too
     */
    public String text(String headers) {
        return statusLine + "\r\n" + headers + fields + "\r\n" + body;
    }

    private static final class Fields {
        static final String BODY = "broken-body";
        static final String LENGTH = "Content-Length: 11\r\n";
        static final String CHUNKED = "Transfer-Encoding: chunked\r\n";
        static final String CHUNKED_BODY = "b\r\nbroken-body\r\n0\r\n\r\n";
        static final String CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n";
    }
}
