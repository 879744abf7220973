package org.cuminspur.router.internal.caller;

import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cuminspur.config.Priority;
import org.cuminspur.http.client.HttpHeader;
import org.cuminspur.http.client.LoadHeader;

/**
 * Chooses the headers that pass from one side of the router to the other; stateless and thread-safe.
 *
 * <p>Headers that the router itself speaks by never pass, so neither side can speak in its name.
 */
final class EndToEndHeaders {
    /** What the router's own headers begin with, in lower case. */
    private static final String OWN_PREFIX = "cuminspur-";

    private static final Set<String> HOP_HEADERS = Set.of(
            "connection",
            "keep-alive",
            "transfer-encoding",
            "te",
            "trailer",
            "upgrade",
            "host",
            "content-length",
            "proxy-authorization",
            "proxy-authenticate",
            "proxy-connection",
            "authorization",
            "expect",
            "priority",
            LoadHeader.NAME);

    private EndToEndHeaders() {}

    /** Returns the headers that an upstream gets. */
    static List<HttpHeader> toUpstream(RoutedRequest routed) {
        Stream<HttpHeader> own = Stream.of(
                new HttpHeader("Priority", urgency(routed.priority())),
                new HttpHeader("Cuminspur-Account", routed.account().id().value()));
        return Stream.concat(forwarded(routed.request().headers()).stream(), own)
                .toList();
    }

    /** Returns the headers that pass. */
    static List<HttpHeader> forwarded(List<HttpHeader> headers) {
        Set<String> named = headers.stream()
                .filter(header -> header.name().equalsIgnoreCase("Connection"))
                .flatMap(header -> Stream.of(header.value().split(",")))
                .map(name -> name.strip().toLowerCase(Locale.ROOT))
                .collect(Collectors.toSet());
        return headers.stream().filter(header -> passes(header, named)).toList();
    }

    private static boolean passes(HttpHeader header, Set<String> named) {
        String name = header.name().toLowerCase(Locale.ROOT);
        return !HOP_HEADERS.contains(name) && !named.contains(name) && !name.startsWith(OWN_PREFIX);
    }

    private static String urgency(Priority priority) {
        return switch (priority) {
            case HIGH -> "u=1";
            case NORMAL -> "u=3";
            case LOW -> "u=5";
        };
    }
}
