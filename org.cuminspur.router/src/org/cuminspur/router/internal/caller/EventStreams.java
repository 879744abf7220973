package org.cuminspur.router.internal.caller;

import java.util.List;
import org.cuminspur.http.client.HttpHeader;

/** Recognises answers that are streams of server-sent events; stateless and thread-safe. */
final class EventStreams {
    private static final String MEDIA_TYPE = "text/event-stream";

    private EventStreams() {}

    static boolean isEventStream(List<HttpHeader> headers) {
        return headers.stream()
                .anyMatch(header -> header.name().equalsIgnoreCase("Content-Type")
                        && header.value().startsWith(MEDIA_TYPE));
    }
}
