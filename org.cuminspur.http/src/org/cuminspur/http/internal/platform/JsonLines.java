package org.cuminspur.http.internal.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.util.function.Consumer;

/** Cuts a stream of bytes into lines of JSON; used by one thread. */
final class JsonLines {
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final Consumer<JsonNode> lines;

    JsonLines(Consumer<JsonNode> lines) {
        this.lines = lines;
    }

    /** Takes the next piece of the stream; lines that hold no JSON are passed over. */
    void take(byte[] piece) {
        for (byte b : piece) {
            if (b == '\n') {
                EtcdJson.parse(line.toByteArray()).forEach(lines);
                line.reset();
            } else {
                line.write(b);
            }
        }
    }
}
