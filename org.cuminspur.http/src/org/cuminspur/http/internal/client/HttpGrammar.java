package org.cuminspur.http.internal.client;

/** Elements of the grammar of RFC 9110 in text with one character for each byte; stateless and thread-safe. */
final class HttpGrammar {
    private static final char DELETE = 0x7f;

    private HttpGrammar() {}

    /** Returns whether the characters from a position on are blanks, tabs, visible or outside ASCII. */
    static boolean isText(String line, int from) {
        for (int i = from; i < line.length(); i++) {
            char next = line.charAt(i);
            if ((next < ' ' && next != '\t') || next == DELETE) {
                return false;
            }
        }
        return true;
    }
}
