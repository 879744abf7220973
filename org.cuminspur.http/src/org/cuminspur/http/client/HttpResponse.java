package org.cuminspur.http.client;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

/** A complete response; immutable, though the body is shared and must not be changed. */
public record HttpResponse(int status, List<HttpHeader> headers, byte[] body) {
    public HttpResponse {
        headers = List.copyOf(headers);
    }

    /** Returns whether the status is 2xx. */
    public boolean succeeded() {
        return status / 100 == 2;
    }

    /** Returns the first value of a header, whatever the case of its name. */
    public Optional<String> header(String name) {
        return headers.stream()
                .filter(header -> header.name().equalsIgnoreCase(name))
                .map(HttpHeader::value)
                .findFirst();
    }

    /** Returns the body as UTF-8. */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }
}
