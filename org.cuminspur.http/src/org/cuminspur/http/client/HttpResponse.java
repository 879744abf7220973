package org.cuminspur.http.client;

import java.nio.charset.StandardCharsets;

/** A complete response; immutable, though the body is shared and must not be changed. */
public record HttpResponse(int status, byte[] body) {
    /** Returns whether the status is 2xx. */
    public boolean succeeded() {
        return status / 100 == 2;
    }

    /** Returns the body as UTF-8. */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }
}
