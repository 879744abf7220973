package org.cuminspur.traffic;

import java.util.Optional;
import org.cuminspur.id.AccountId;
import org.cuminspur.id.UpstreamId;

/**
 * What is sent to an upstream in addition to the caller's headers; immutable.
 *
 * @param remainingMillis time left until the deadline of the request
 * @param target the only upstream that may run it; another process may have its address by now
 * @param priority rank among the upstream's requests, 0 is the highest
 * @param lastEventId the event after which a stream resumes
 * @param cacheSource another upstream from which to copy the cached prompt before the request runs
 */
public record ForwardMetadata(
        long remainingMillis,
        UpstreamId target,
        Optional<AccountId> account,
        int priority,
        Optional<String> lastEventId,
        Optional<UpstreamEntry> cacheSource) {}
