package org.cuminspur.traffic;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What a caller's headers say; immutable.
 *
 * @param requestId names the request, the same on its way to the upstream and back
 * @param apiKey the account's key; empty if none or more than one was sent
 * @param callerTimeoutMillis how long the caller waits from the sending of the request
 * @param lastEventId the event after which a stream is to go on
 */
public record RequestMetadata(
        String requestId,
        Optional<String> apiKey,
        OptionalLong callerTimeoutMillis,
        PromptDescription prompt,
        Optional<String> lastEventId) {}
