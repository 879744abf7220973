package org.cuminspur.traffic;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What the headers of a caller's request state; immutable.
 *
 * @param requestId id of the request, unchanged on the way to the upstream and back
 * @param apiKey key of the client account; empty if none or more than one was sent
 * @param callerTimeoutMillis how long the caller waits after sending the request
 * @param lastEventId the event after which a stream resumes
 * @param resumes id of the request that brought the first event of the stream that resumes
 */
public record RequestMetadata(
        String requestId,
        Optional<String> apiKey,
        OptionalLong callerTimeoutMillis,
        PromptDescription prompt,
        Optional<String> lastEventId,
        Optional<String> resumes) {}
