package org.cuminspur.http.internal.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.util.function.Consumer;

/** Splits a stream of bytes into lines and parses each as JSON; used by one thread. */
final class JsonLines {
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final Consumer<JsonNode> listener;

    JsonLines(Consumer<JsonNode> listener) {
        this.listener = listener;
    }

    /** Appends the next piece of the stream; lines that are not JSON are skipped. */
    void append(byte[] piece) {
        for (byte b : piece) {
            if (b == '\n') {
                EtcdJson.parse(line.toByteArray()).forEach(listener);
                line.reset();
            } else {
                line.write(b);
            }
        }
    }
}
