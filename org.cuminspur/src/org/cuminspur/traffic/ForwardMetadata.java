package org.cuminspur.traffic;

import java.util.Optional;
import org.cuminspur.id.AccountId;
import org.cuminspur.id.UpstreamId;

/**
 * What an upstream is told beside the caller's own headers; immutable.
 *
 * @param remainingMillis how long the answer is still of use
 * @param target the only upstream that may run it, whatever process has its address by now
 * @param priority rank among the upstream's requests, 0 is the most urgent
 * @param lastEventId the event after which a stream is to go on
 * @param cacheSource another upstream from which to copy what it keeps of the prompt, before the request is run
 */
public record ForwardMetadata(
        long remainingMillis,
        UpstreamId target,
        Optional<AccountId> account,
        int priority,
        Optional<String> lastEventId,
        Optional<UpstreamEntry> cacheSource) {}
