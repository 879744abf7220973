package org.cuminspur.http.client;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;

/**
 * A response whose body is read in pieces as it arrives.
 *
 * <p>Used by one thread, but {@link #close} may be called by any. A connection goes back to the pool only after the
 * whole body was read; otherwise closing the stream closes the connection.
 */
public interface HttpResponseStream extends AutoCloseable {
    /** Returns the HTTP status. */
    int status();

    /** Returns how the end of the body is marked. */
    BodyFraming framing();

    /** Returns the headers in the order received. */
    List<HttpHeader> headers();

    /** Returns the first value of a header; names are case-insensitive. */
    default Optional<String> header(String name) {
        return headers().stream()
                .filter(header -> header.name().equalsIgnoreCase(name))
                .map(HttpHeader::value)
                .findFirst();
    }

    /**
     * Waits for the next piece of the body.
     *
     * @param timeoutMillis maximum wait
     * @return the piece, empty at the end of the body, or the fault
     */
    Either<CallFault, byte[]> next(long timeoutMillis);

    @Override
    void close();
}
