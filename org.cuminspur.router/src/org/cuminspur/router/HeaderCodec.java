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
 * Translates between HTTP headers and the metadata of requests and responses.
 *
 * <p>Implementations are stateless and thread-safe. They make no decisions.
 */
public interface HeaderCodec {
    /** Decodes a caller's headers, or returns the refusal of malformed ones. */
    Either<Refusal, RequestMetadata> decodeCall(HeaderMap headers);

    /** Returns whether a caller's header is forwarded to the upstream unchanged. */
    boolean forwardsToUpstream(HttpString name);

    /** Adds the metadata for the upstream to the headers of a request. */
    void encodeSend(HeaderMap request, RequestMetadata call, ForwardMetadata metadata);

    /** Replaces the time that a request states to be left until its deadline. */
    void encodeRemainingTime(HeaderMap request, long remainingMillis);

    /** Decodes the headers of an upstream's response. */
    ResponseMetadata decodeAnswer(int status, HeaderMap headers);

    /** Returns whether a header of an upstream's response is forwarded to the caller unchanged. */
    boolean forwardsToCaller(HttpString name);

    /** Returns whether a status alone tells callers that a request has not run. */
    boolean impliesNotRun(int status);

    /** Returns the status of a refusal; it implies that the request has not run only if the kind guarantees that. */
    int status(ErrorKind kind);

    /** Adds the time to retry after and the request's id, if it is known, to the headers of a refusal. */
    void encodeRefusal(HeaderMap response, RequestMetadata call, Refusal refusal);
}
