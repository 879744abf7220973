package org.cuminspur.router.internal.caller;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.stream.StreamSupport;
import org.cuminspur.errors.ErrorKind;
import org.cuminspur.errors.Refusal;

/**
 * Checks a request's line and headers before its body is read; immutable and thread-safe.
 *
 * @param maxHeaderBytes the most bytes of names and values together
 */
public record HeadLimits(int maxHeaderBytes) {
    /** Bytes of a header line besides name and value: colon, space and line end. */
    private static final int LINE_BYTES = 4;

    /** Returns why the request is refused, if it is. */
    Optional<Refusal> check(HttpServerExchange exchange) {
        Optional<Refusal> refusal = checkHeaders(exchange);
        if (refusal.isPresent()) {
            return refusal;
        }
        Either<Refusal, String> path = RequestPath.decode(exchange.getRequestURI());
        return path.isLeft() ? Optional.of(path.getLeft()) : Optional.empty();
    }

    /** Returns why the request is refused for its headers, whatever its path is. */
    public Optional<Refusal> checkHeaders(HttpServerExchange exchange) {
        HeaderMap headers = exchange.getRequestHeaders();
        if (bytes(headers) + exchange.getRequestURI().length() > maxHeaderBytes) {
            return Optional.of(Refusal.of(ErrorKind.HEADERS_TOO_LARGE));
        }
        if (lengthIsAmbiguous(headers)) {
            return Optional.of(Refusal.of(ErrorKind.BAD_REQUEST, "the length of the body is ambiguous"));
        }
        return Optional.empty();
    }

    private static int bytes(HeaderMap headers) {
        return StreamSupport.stream(headers.spliterator(), false)
                .mapToInt(HeadLimits::bytes)
                .sum();
    }

    private static int bytes(HeaderValues values) {
        return values.stream()
                .mapToInt(value -> values.getHeaderName().length() + value.length() + LINE_BYTES)
                .sum();
    }

    /** Two ways to tell a body's length let one side see a request where the other sees a body. */
    private static boolean lengthIsAmbiguous(HeaderMap headers) {
        int ways = headers.count(Headers.CONTENT_LENGTH) + headers.count(Headers.TRANSFER_ENCODING);
        return ways > 1;
    }
}
