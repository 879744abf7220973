package org.cuminspur.router.internal.caller;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** The body of an answer as it is kept for repeats, within a bound; used by one thread. */
final class BoundedBodyBuffer {
    private static final int MAX_BYTES = 1_024 * 1_024;

    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private boolean tooLarge;

    void add(byte[] piece) {
        tooLarge |= bytes.size() + piece.length > MAX_BYTES;
        if (!tooLarge) {
            bytes.writeBytes(piece);
        }
    }

    /** Returns the body, none if it is too large or not text: a repeat must not get a changed answer. */
    Optional<String> text() {
        try {
            ByteBuffer held = ByteBuffer.wrap(bytes.toByteArray());
            String text = StandardCharsets.UTF_8.newDecoder().decode(held).toString();
            return tooLarge ? Optional.empty() : Optional.of(text);
        } catch (CharacterCodingException e) {
            return Optional.empty();
        }
    }
}
