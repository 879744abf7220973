package org.cuminspur.http.internal.client;

import java.util.OptionalLong;

/** Elements of the grammar of RFC 9110 in text with one character for each byte; stateless and thread-safe. */
final class HttpGrammar {
    static final int DECIMAL = 10;
    static final int HEXADECIMAL = 16;

    private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";
    private static final char DELETE = 0x7f;
    private static final char FIRST_NON_ASCII = 0x80;

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

    /** Returns whether the characters before a position are a token, as names are. */
    static boolean isToken(String line, int end) {
        for (int i = 0; i < end; i++) {
            char next = line.charAt(i);
            boolean alphanumeric =
                    (next >= 'a' && next <= 'z') || (next >= 'A' && next <= 'Z') || (next >= '0' && next <= '9');
            if (!alphanumeric && TOKEN_SYMBOLS.indexOf(next) < 0) {
                return false;
            }
        }
        return end > 0;
    }

    /** Returns the characters from a position on without the blanks and tabs around them. */
    static String withoutBlanks(String line, int from) {
        int start = from;
        int end = line.length();
        while (start < end && isBlank(line.charAt(start))) {
            start++;
        }
        while (end > start && isBlank(line.charAt(end - 1))) {
            end--;
        }
        return line.substring(start, end);
    }

    static boolean isBlank(char next) {
        return next == ' ' || next == '\t';
    }

    /**
     * Returns the number that consists of the digits of a text, or none if it has another character, is empty or is over
     * {@link Long#MAX_VALUE}.
     *
     * @param radix {@link #DECIMAL} or {@link #HEXADECIMAL}
     */
    static OptionalLong number(String digits, int radix) {
        long number = 0;
        for (int i = 0; i < digits.length(); i++) {
            char next = digits.charAt(i);
            int digit = next < FIRST_NON_ASCII ? Character.digit(next, radix) : -1;
            if (digit < 0 || number > (Long.MAX_VALUE - digit) / radix) {
                return OptionalLong.empty();
            }
            number = number * radix + digit;
        }
        return digits.isEmpty() ? OptionalLong.empty() : OptionalLong.of(number);
    }
}
