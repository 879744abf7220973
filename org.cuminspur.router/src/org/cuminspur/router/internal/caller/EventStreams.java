package org.cuminspur.router.internal.caller;

import java.util.List;
import org.cuminspur.http.client.HttpHeader;

/** Recognises answers that are streams of server-sent events; stateless and thread-safe. */
public final class EventStreams {
    private static final String MEDIA_TYPE = "text/event-stream";

    private EventStreams() {}

    static boolean isEventStream(List<HttpHeader> headers) {
        return headers.stream()
                .anyMatch(header -> header.name().equalsIgnoreCase("Content-Type") && isEventStream(header.value()));
    }

    /** Returns whether the value of a Content-Type header names an event stream. */
    public static boolean isEventStream(String contentType) {
        return contentType.regionMatches(true, 0, MEDIA_TYPE, 0, MEDIA_TYPE.length());
    }
}
