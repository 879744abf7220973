package org.cuminspur.standin.raw;

/** Unusual responses that RFC 9112 allows, or tells a client to accept, with {@link #BODY} unless stated; immutable. */
public enum OddResponse {
    NO_REASON("HTTP/1.1 200 ", Fields.LENGTH, Fields.BODY),
    NO_BLANK_AFTER_STATUS("HTTP/1.1 200", Fields.LENGTH, Fields.BODY),
    LONG_REASON("HTTP/1.1 200 Any \t reason, \u00e9 too", Fields.LENGTH, Fields.BODY),
    STATUS_OF_NO_NAME("HTTP/1.1 299 Any", Fields.LENGTH, Fields.BODY),
    HTTP_1_0("HTTP/1.0 200 OK", Fields.LENGTH, Fields.BODY),
    HTTP_1_2("HTTP/1.2 200 OK", Fields.LENGTH, Fields.BODY),
    EQUAL_LENGTHS("Content-Length: 8\r\nContent-Length: 8\r\n", Fields.BODY),
    LENGTH_WITH_ZEROS("Content-Length: 0000000000000000000000008\r\n", Fields.BODY),
    BLANKS_AROUND_LENGTH("Content-Length: \t 8 \t \r\n", Fields.BODY),
    NO_BLANK_BEFORE_LENGTH("Content-Length:8\r\n", Fields.BODY),
    NAME_IN_LOWER_CASE("content-length: 8\r\n", Fields.BODY),
    EMPTY_VALUE("X-Odd:\r\n" + Fields.LENGTH, Fields.BODY),
    BLANKS_AS_VALUE("X-Odd: \t \r\n" + Fields.LENGTH, Fields.BODY),
    BLANKS_AROUND_VALUE("X-Odd:\t odd value \t\r\n" + Fields.LENGTH, Fields.BODY),
    COLONS_IN_VALUE("X-Odd:: a: b\r\n" + Fields.LENGTH, Fields.BODY),
    NON_ASCII_VALUE("X-Odd: \u00e9\u00ff\r\n" + Fields.LENGTH, Fields.BODY),
    ALL_CHARACTERS_OF_NAMES("!#$%&'*+-.^_`|~09aZ: odd\r\n" + Fields.LENGTH, Fields.BODY),
    LONG_VALUE("X-Odd: " + "v".repeat(5_000) + "\r\n" + Fields.LENGTH, Fields.BODY),
    MANY_FIELDS("X-Odd: odd\r\n".repeat(100) + Fields.LENGTH, Fields.BODY),
    EMPTY_BODY("Content-Length: 0\r\n", ""),
    EMPTY_CHUNKED_BODY(Fields.CHUNKED, "0\r\n\r\n"),
    CODING_IN_UPPER_CASE("TRANSFER-ENCODING: CHUNKED\r\n", Fields.CHUNKED_BODY),
    BLANKS_AROUND_CODING("Transfer-Encoding: \t chunked \t\r\n", Fields.CHUNKED_BODY),
    SEVERAL_CHUNKS(Fields.CHUNKED, "1\r\no\r\n4\r\ndd-b\r\n3\r\nody\r\n0\r\n\r\n"),
    SIZES_WITH_ZEROS(Fields.CHUNKED, "0000000000000000000008\r\nodd-body\r\n000\r\n\r\n"),
    CHUNK_EXTENSIONS(Fields.CHUNKED, "8;a;b=c;d=\"e; f\"\r\nodd-body\r\n0;g\r\n\r\n"),
    BLANKS_IN_CHUNK_EXTENSION(Fields.CHUNKED, "8 ; a = b\r\nodd-body\r\n0\t;c\r\n\r\n"),
    TRAILERS(Fields.CHUNKED, "8\r\nodd-body\r\n0\r\nX-Trailer: a\r\nX-Other:\r\n\r\n"),
    ENDED_BY_CLOSE("Connection: close\r\n", Fields.BODY),
    ENDED_BY_CLOSE_UNANNOUNCED("", Fields.BODY),
    ENDED_BY_CLOSE_IN_HTTP_1_0("HTTP/1.0 200 OK", "", Fields.BODY),
    AFTER_100("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK", Fields.LENGTH, Fields.BODY),
    AFTER_102("HTTP/1.1 102 Processing\r\nX-A: b\r\n\r\nHTTP/1.1 200 OK", Fields.LENGTH, Fields.BODY),
    AFTER_103("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK", Fields.LENGTH, Fields.BODY),
    AFTER_UNKNOWN_INTERIM("HTTP/1.1 199 Any\r\n\r\nHTTP/1.1 200 OK", Fields.LENGTH, Fields.BODY),
    AFTER_SEVERAL_INTERIM(
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Any\r\n\r\nHTTP/1.1 200 OK",
            Fields.CHUNKED,
            Fields.CHUNKED_BODY),
    EQUAL_LENGTHS_IN_A_LIST("Content-Length: 8, 8\r\n", Fields.BODY);

    /** Text of the body. */
    public static final String BODY = "odd-body";

    private final String statusLine;
    private final String fields;
    private final String body;

    OddResponse(String fields, String body) {
        this("HTTP/1.1 200 OK", fields, body);
    }

    OddResponse(String statusLine, String fields, String body) {
        this.statusLine = statusLine;
        this.fields = fields;
        this.body = body;
    }

    /**
     * Returns the bytes of the response in ISO-8859-1.
     *
     * @param headers complete lines that any response to the request has
     */
    public String text(String headers) {
        return statusLine + "\r\n" + headers + fields + "\r\n" + body;
    }

    /** Returns the status that a caller gets. */
    public int status() {
        return this == STATUS_OF_NO_NAME ? 299 : 200;
    }

    /** Returns the body that a caller gets. */
    public String expectedBody() {
        return this == EMPTY_BODY || this == EMPTY_CHUNKED_BODY ? "" : BODY;
    }

    /** Returns whether only the end of the connection marks the end of the body. */
    public boolean isEndedByClose() {
        return name().startsWith("ENDED_BY_CLOSE");
    }

    private static final class Fields {
        static final String BODY = "odd-body";
        static final String LENGTH = "Content-Length: 8\r\n";
        static final String CHUNKED = "Transfer-Encoding: chunked\r\n";
        static final String CHUNKED_BODY = "8\r\nodd-body\r\n0\r\n\r\n";
    }
}
