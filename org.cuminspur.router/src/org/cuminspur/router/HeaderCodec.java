package org.cuminspur.router;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import io.vavr.control.Either;
import org.cuminspur.errors.ErrorKind;
import org.cuminspur.errors.Refusal;
import org.cuminspur.traffic.ForwardMetadata;
import org.cuminspur.traffic.RequestMetadata;
import org.cuminspur.traffic.ResponseMetadata;

/**
 * The headers by which callers, instances and upstreams tell each other what the body does not.
 *
 * <p>Implementations are stateless and thread-safe. They translate and decide nothing.
 */
public interface HeaderCodec {
    /** Reads a caller's headers, or returns why they cannot be read. */
    Either<Refusal, RequestMetadata> decodeCall(HeaderMap headers);

    /** Returns whether a caller's header is passed on to the upstream as it came. */
    boolean forwardsToUpstream(HttpString name);

    /** Adds what the upstream is told to a request. */
    void encodeSend(HeaderMap request, RequestMetadata call, ForwardMetadata head);

    /** Reads the headers of an upstream's answer. */
    ResponseMetadata decodeAnswer(int status, HeaderMap headers);

    /** Returns whether a header of an upstream's answer is passed on to the caller. */
    boolean forwardsToCaller(HttpString name);

    /** Returns whether a status, by itself, promises callers that a request has not run. */
    boolean impliesNotRun(int status);

    /** Returns the status of a refusal; it is one that promises "not run" only if the kind is sure of that. */
    int status(ErrorKind kind);

    /** Adds when to come back, and what is known of the request, to a refusal's headers. */
    void encodeRefusal(HeaderMap answer, RequestMetadata call, Refusal refusal);
}
