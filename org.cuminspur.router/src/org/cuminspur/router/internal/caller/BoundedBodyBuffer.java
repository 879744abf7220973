package org.cuminspur.router.internal.caller;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Buffers an answer's body, up to a size limit, for replay to repeated requests; used by one thread. */
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

    /** Returns the body; empty if it is too large or not valid UTF-8, since a replay must be identical. */
    Optional<String> text() {
        try {
            ByteBuffer buffered = ByteBuffer.wrap(bytes.toByteArray());
            String text = StandardCharsets.UTF_8.newDecoder().decode(buffered).toString();
            return tooLarge ? Optional.empty() : Optional.of(text);
        } catch (CharacterCodingException e) {
            return Optional.empty();
        }
    }
}
