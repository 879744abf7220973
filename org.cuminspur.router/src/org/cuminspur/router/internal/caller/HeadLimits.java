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
 * Validates the request line and headers before the body is read; immutable and thread-safe.
 *
 * @param maxHeaderBytes maximum total size of the request target and the header lines
 */
public record HeadLimits(int maxHeaderBytes) {
    /** Bytes of a header line besides name and value: colon, space and CRLF. */
    private static final int LINE_OVERHEAD_BYTES = 4;

    /** Returns the refusal, if the headers or the path are invalid. */
    Optional<Refusal> check(HttpServerExchange exchange) {
        Optional<Refusal> refusal = checkHeaders(exchange);
        if (refusal.isPresent()) {
            return refusal;
        }
        Either<Refusal, String> path = RequestPath.decode(exchange.getRequestURI());
        return path.isLeft() ? Optional.of(path.getLeft()) : Optional.empty();
    }

    /** Returns the refusal, if the headers are invalid; does not check the path. */
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
                .mapToInt(value -> values.getHeaderName().length() + value.length() + LINE_OVERHEAD_BYTES)
                .sum();
    }

    /** Prevents request smuggling: with two declared lengths, router and upstream may disagree on where the body ends. */
    private static boolean lengthIsAmbiguous(HeaderMap headers) {
        int lengthHeaders = headers.count(Headers.CONTENT_LENGTH) + headers.count(Headers.TRANSFER_ENCODING);
        return lengthHeaders > 1;
    }
}
