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
 * Selects the headers that are forwarded between callers and upstreams; stateless and thread-safe.
 *
 * <p>Headers that the router itself sets are never forwarded, so neither side can forge them.
 */
final class EndToEndHeaders {
    /** Prefix of the router's own headers, in lower case. */
    private static final String ROUTER_PREFIX = "cuminspur-";

    private static final Set<String> NOT_FORWARDED = Set.of(
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

    /** Returns the headers to send to an upstream. */
    static List<HttpHeader> toUpstream(RoutedRequest routed) {
        Stream<HttpHeader> added = Stream.of(
                new HttpHeader("Priority", priorityValue(routed.priority())),
                new HttpHeader("Cuminspur-Account", routed.account().id().value()));
        return Stream.concat(forwarded(routed.request().headers()).stream(), added)
                .toList();
    }

    /** Returns the headers to forward. */
    static List<HttpHeader> forwarded(List<HttpHeader> headers) {
        Set<String> connectionOptions = headers.stream()
                .filter(header -> header.name().equalsIgnoreCase("Connection"))
                .flatMap(header -> Stream.of(header.value().split(",")))
                .map(name -> name.strip().toLowerCase(Locale.ROOT))
                .collect(Collectors.toSet());
        return headers.stream()
                .filter(header -> isForwarded(header, connectionOptions))
                .toList();
    }

    private static boolean isForwarded(HttpHeader header, Set<String> connectionOptions) {
        String name = header.name().toLowerCase(Locale.ROOT);
        return !NOT_FORWARDED.contains(name) && !connectionOptions.contains(name) && !name.startsWith(ROUTER_PREFIX);
    }

    private static String priorityValue(Priority priority) {
        return switch (priority) {
            case HIGH -> "u=1";
            case NORMAL -> "u=3";
            case LOW -> "u=5";
        };
    }
}
