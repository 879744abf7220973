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
import org.cuminspur.quarantine.RequestIdentity;
import org.cuminspur.router.HeaderCodec;
import org.cuminspur.traffic.ClientAccount;
import org.cuminspur.traffic.ForwardMetadata;
import org.cuminspur.traffic.RequestMetadata;

/** Builds the requests to upstreams and the response headers to callers; stateless and thread-safe. */
final class UpstreamRequests {
    /** Headers that apply to one connection only and are not forwarded. */
    private static final Set<HttpString> CONNECTION_HEADERS = Stream.of(
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

    /** Returns a request with the caller's method, path and headers, and the metadata for the upstream. */
    static ClientRequest create(
            HttpServerExchange exchange,
            int bodyBytes,
            HeaderCodec headerCodec,
            RequestMetadata call,
            ForwardMetadata metadata) {
        ClientRequest request = create(exchange, bodyBytes, headerCodec::forwardsToUpstream);
        headerCodec.encodeSend(request.getRequestHeaders(), call, metadata);
        return request;
    }

    /**
     * Returns a request with the caller's method, path and headers for another instance.
     *
     * @param remainingMillis time left until the deadline of the request
     */
    static ClientRequest createForPeer(
            HttpServerExchange exchange, int bodyBytes, HeaderCodec headerCodec, long remainingMillis) {
        ClientRequest request = create(exchange, bodyBytes, name -> true);
        headerCodec.encodeRemainingTime(request.getRequestHeaders(), remainingMillis);
        return request;
    }

    private static ClientRequest create(HttpServerExchange exchange, int bodyBytes, Predicate<HttpString> forwards) {
        ClientRequest request = new ClientRequest()
                .setMethod(exchange.getRequestMethod())
                .setProtocol(Protocols.HTTP_1_1)
                .setPath(pathAndQuery(exchange));
        HeaderMap from = exchange.getRequestHeaders();
        HeaderMap to = request.getRequestHeaders();
        copyForwarded(from, to, forwards);
        if (from.contains(Headers.CONTENT_LENGTH) || from.contains(Headers.TRANSFER_ENCODING)) {
            to.put(Headers.CONTENT_LENGTH, bodyBytes);
        }
        return request;
    }

    /**
     * Returns the headers of an upstream's response that are forwarded to its caller.
     *
     * <p>The length of an event stream is not: a resumed stream may have another one, and a stream that is cut inside an
     * event may reach it.
     */
    static HeaderMap responseHeaders(HeaderMap from, HeaderCodec headerCodec, boolean eventStream) {
        HeaderMap to = new HeaderMap();
        copyForwarded(from, to, headerCodec::forwardsToCaller);
        if (!eventStream && from.contains(Headers.CONTENT_LENGTH) && !from.contains(Headers.TRANSFER_ENCODING)) {
            to.put(Headers.CONTENT_LENGTH, from.getFirst(Headers.CONTENT_LENGTH));
        }
        return to;
    }

    private static void copyForwarded(HeaderMap from, HeaderMap to, Predicate<HttpString> forwards) {
        Set<String> named = listedIn(from.get(Headers.CONNECTION));
        for (HeaderValues values : from) {
            HttpString name = values.getHeaderName();
            boolean perConnection = CONNECTION_HEADERS.contains(name)
                    || (!named.isEmpty() && named.contains(name.toString().toLowerCase(Locale.ROOT)));
            if (!perConnection && forwards.test(name)) {
                to.putAll(name, values);
            }
        }
    }

    /** Returns the names that a Connection header lists as applying to the connection only, in lower case. */
    private static Set<String> listedIn(HeaderValues connection) {
        return connection == null
                ? Set.of()
                : connection.stream()
                        .flatMap(value -> Stream.of(value.split(",")))
                        .map(name -> name.strip().toLowerCase(Locale.ROOT))
                        .collect(Collectors.toSet());
    }

    private static String pathAndQuery(HttpServerExchange exchange) {
        String query = exchange.getQueryString();
        return query.isEmpty() ? exchange.getRequestURI() : exchange.getRequestURI() + "?" + query;
    }

    /** Returns what is the same in all repeats of a request. */
    static RequestIdentity identity(HttpServerExchange exchange, RoutedCall routed, byte[] body) {
        return new RequestIdentity(
                exchange.getRequestMethod().toString(),
                pathAndQuery(exchange),
                routed.account().map(ClientAccount::id),
                body);
    }
}
