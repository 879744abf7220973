package org.cuminspur.once;

/**
 * An answer stored for replay to repeated requests; immutable.
 *
 * @param contentType media type of the body, may be empty
 * @param body the answer's body as UTF-8 text
 */
public record StoredAnswer(int status, String contentType, String body) {}
