package org.cuminspur.http.internal.client;

import org.cuminspur.http.client.InvalidResponseException;

/**
 * A field line of a head or of trailers; immutable.
 *
 * @param name token, as received
 * @param value without blanks around it
 */
record FieldLine(String name, String value) {
    /**
     * Parses a line as RFC 9112 and RFC 9110 define it.
     *
     * <p>A folded line has no name, so it is invalid here as RFC 9112 allows a gateway to treat it. A blank between name and
     * colon, which a proxy may remove, is invalid too: other recipients take such a line for another field.
     */
    static FieldLine parse(String line) throws InvalidResponseException {
        int colon = line.indexOf(':');
        if (!HttpGrammar.isToken(line, colon)) {
            throw new InvalidResponseException("field line without a valid name", line);
        }
        if (!HttpGrammar.isText(line, colon + 1)) {
            throw new InvalidResponseException("control character in a field", line);
        }
        return new FieldLine(line.substring(0, colon), HttpGrammar.withoutBlanks(line, colon + 1));
    }

    boolean is(String otherName) {
        return name.equalsIgnoreCase(otherName);
    }
}
