package org.cuminspur.router.internal.traffic;

import io.undertow.client.ClientRequest;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Protocols;
import java.util.Locale;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cuminspur.router.HeaderCodec;
import org.cuminspur.traffic.ForwardMetadata;
import org.cuminspur.traffic.RequestMetadata;

/** Makes the requests that upstreams get and the headers that callers get back; stateless and thread-safe. */
final class UpstreamRequests {
    /** Headers that concern one connection only. */
    private static final Set<HttpString> OF_CONNECTION = Stream.of(
                    "Connection",
                    "Keep-Alive",
                    "Proxy-Connection",
                    "Proxy-Authenticate",
                    "Proxy-Authorization",
                    "TE",
                    "Trailer",
                    "Transfer-Encoding",
                    "Upgrade",
                    "Content-Length",
                    "Expect")
            .map(HttpString::new)
            .collect(Collectors.toUnmodifiableSet());

    private UpstreamRequests() {}

    /** Returns a request with the caller's method, path and headers, and what the upstream is told besides. */
    static ClientRequest of(
            HttpServerExchange exchange,
            int bodyBytes,
            HeaderCodec headerCodec,
            RequestMetadata call,
            ForwardMetadata head) {
        String query = exchange.getQueryString();
        ClientRequest request = new ClientRequest()
                .setMethod(exchange.getRequestMethod())
                .setProtocol(Protocols.HTTP_1_1)
                .setPath(query.isEmpty() ? exchange.getRequestURI() : exchange.getRequestURI() + "?" + query);
        HeaderMap from = exchange.getRequestHeaders();
        HeaderMap to = request.getRequestHeaders();
        pass(from, to, headerCodec::forwardsToUpstream);
        if (from.contains(Headers.CONTENT_LENGTH) || from.contains(Headers.TRANSFER_ENCODING)) {
            to.put(Headers.CONTENT_LENGTH, bodyBytes);
        }
        headerCodec.encodeSend(to, call, head);
        return request;
    }

    /** Returns the headers of an upstream's answer that its caller gets. */
    static HeaderMap answer(HeaderMap from, HeaderCodec headerCodec) {
        HeaderMap to = new HeaderMap();
        pass(from, to, headerCodec::forwardsToCaller);
        if (from.contains(Headers.CONTENT_LENGTH) && !from.contains(Headers.TRANSFER_ENCODING)) {
            to.put(Headers.CONTENT_LENGTH, from.getFirst(Headers.CONTENT_LENGTH));
        }
        return to;
    }

    private static void pass(HeaderMap from, HeaderMap to, Predicate<HttpString> passes) {
        Set<String> named = named(from.get(Headers.CONNECTION));
        for (HeaderValues values : from) {
            HttpString name = values.getHeaderName();
            boolean own = OF_CONNECTION.contains(name)
                    || (!named.isEmpty() && named.contains(name.toString().toLowerCase(Locale.ROOT)));
            if (!own && passes.test(name)) {
                to.putAll(name, values);
            }
        }
    }

    /** Returns the headers that a Connection header declares to concern the connection only, in lower case. */
    private static Set<String> named(HeaderValues connection) {
        return connection == null
                ? Set.of()
                : connection.stream()
                        .flatMap(value -> Stream.of(value.split(",")))
                        .map(name -> name.strip().toLowerCase(Locale.ROOT))
                        .collect(Collectors.toSet());
    }
}
