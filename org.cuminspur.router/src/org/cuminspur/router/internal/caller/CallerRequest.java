package org.cuminspur.router.internal.caller;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;
import org.cuminspur.http.client.HttpHeader;

/**
 * A request as received from a caller; immutable, but the body is shared and must not be modified.
 *
 * @param path decoded path without query, used to match routes
 * @param pathAndQuery path with query, as received
 * @param json the parsed body, a missing node if it is not JSON
 */
record CallerRequest(
        String method, String path, String pathAndQuery, List<HttpHeader> headers, byte[] body, JsonNode json) {
    private static final ObjectMapper JSON = new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
    private static final String BEARER = "Bearer ";

    static CallerRequest of(HttpServerExchange exchange, byte[] body) {
        List<HttpHeader> headers = StreamSupport.stream(
                        exchange.getRequestHeaders().spliterator(), false)
                .flatMap(CallerRequest::headerLines)
                .toList();
        String query = exchange.getQueryString();
        String rawPath = exchange.getRequestURI();
        return new CallerRequest(
                exchange.getRequestMethod().toString(),
                RequestPath.decode(rawPath).getOrElse(""),
                query.isEmpty() ? rawPath : rawPath + "?" + query,
                headers,
                body,
                parseJson(headers, body));
    }

    /** Returns the first value of a header; the name is case-insensitive. */
    Optional<String> header(String name) {
        return firstValue(headers, name);
    }

    /** Returns the account key, empty if none was given. */
    String accountKey() {
        return header("Authorization")
                .filter(value -> value.startsWith(BEARER))
                .map(value -> value.substring(BEARER.length()))
                .orElse("");
    }

    /** Returns the model named in the body, empty if there is none. */
    String model() {
        return json.path("model").asText("");
    }

    private static Stream<HttpHeader> headerLines(HeaderValues values) {
        return values.stream()
                .map(value -> new HttpHeader(values.getHeaderName().toString(), value));
    }

    private static Optional<String> firstValue(List<HttpHeader> headers, String name) {
        return headers.stream()
                .filter(header -> header.name().equalsIgnoreCase(name))
                .map(HttpHeader::value)
                .findFirst();
    }

    private static JsonNode parseJson(List<HttpHeader> headers, byte[] body) {
        boolean isJson = firstValue(headers, "Content-Type")
                .filter(type -> type.startsWith("application/json"))
                .isPresent();
        try {
            return isJson ? JSON.readTree(body) : JSON.missingNode();
        } catch (IOException e) {
            return JSON.missingNode();
        }
    }
}
