package org.cuminspur.standin.raw;

/** Chunked bodies that RFC 9112 calls invalid; immutable. */
public enum BrokenBody {
    SIZE_EMPTY("\r\nbroken-body\r\n0\r\n\r\n"),
    SIZE_WITHOUT_DIGIT("x\r\nbroken-body\r\n0\r\n\r\n"),
    SIZE_WITH_PLUS("+b\r\nbroken-body\r\n0\r\n\r\n"),
    SIZE_WITH_MINUS("-b\r\nbroken-body\r\n0\r\n\r\n"),
    SIZE_WITH_PREFIX("0xb\r\nbroken-body\r\n0\r\n\r\n"),
    SIZE_WITH_RUBBISH("bz\r\nbroken-body\r\n0\r\n\r\n"),
    SIZE_WITH_BLANK_BEFORE(" b\r\nbroken-body\r\n0\r\n\r\n"),
    SIZE_WITH_BLANK_BEHIND("b \r\nbroken-body\r\n0\r\n\r\n"),
    SIZE_WITH_BLANK_AND_RUBBISH("b z\r\nbroken-body\r\n0\r\n\r\n"),
    SIZE_TOO_LARGE("fffffffffffffffff\r\nbroken-body\r\n0\r\n\r\n"),
    SIZE_OF_MORE_THAN_IS_SENT("1000000b\r\nbroken-body\r\n0\r\n\r\n"),
    SIZE_OF_LESS_THAN_IS_SENT("5\r\nbroken-body\r\n0\r\n\r\n"),
    SIZE_ENDED_BY_LF("b\nbroken-body\r\n0\r\n\r\n"),
    SIZE_WITH_CR("b\rb\r\nbroken-body\r\n0\r\n\r\n"),
    CONTROL_BYTE_IN_EXTENSION("b;a=\u0001\r\nbroken-body\r\n0\r\n\r\n"),
    LF_AFTER_DATA("b\r\nbroken-body\n0\r\n\r\n"),
    NOTHING_AFTER_DATA("b\r\nbroken-body0\r\n\r\n"),
    LAST_SIZE_WITH_RUBBISH("b\r\nbroken-body\r\n0z\r\n\r\n"),
    LAST_SIZE_WITH_BLANK("b\r\nbroken-body\r\n0 \r\n\r\n"),
    LAST_SIZE_EMPTY("b\r\nbroken-body\r\n\r\n\r\n"),
    LAST_SIZE_ENDED_BY_LF("b\r\nbroken-body\r\n0\n\n"),
    TRAILER_WITHOUT_COLON("b\r\nbroken-body\r\n0\r\nX-Broken\r\n\r\n"),
    TRAILER_WITH_BLANK_IN_NAME("b\r\nbroken-body\r\n0\r\nX Broken: broken\r\n\r\n"),
    TRAILER_WITH_CONTROL_BYTE("b\r\nbroken-body\r\n0\r\nX-Broken: \u0001\r\n\r\n"),
    TRAILER_ENDED_BY_LF("b\r\nbroken-body\r\n0\r\nX-Broken: broken\n\r\n"),
    NO_LAST_CHUNK("b\r\nbroken-body\r\n"),
    ONLY_LAST_SIZE("b\r\nbroken-body\r\n0\r\n");

    /** Line that announces the body. */
    public static final String HEADER = "Transfer-Encoding: chunked\r\n";

    private final String text;

    BrokenBody(String text) {
        this.text = text;
    }

    /** Returns the bytes of the body in ISO-8859-1. */
    public String text() {
        return text;
    }

    /** Returns whether only its early end shows that it is broken. */
    public boolean isValidUpToItsEnd() {
        return this == SIZE_OF_MORE_THAN_IS_SENT || this == NO_LAST_CHUNK || this == ONLY_LAST_SIZE;
    }
}
