package org.cuminspur.routing;

import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.UpstreamId;

/**
 * An upstream as traffic threads see it; immutable but for its tracker, which is thread-safe.
 *
 * @param host IP address
 * @param weight share in placement; 1 is even
 * @param allowance the most requests that this router may have in progress there
 * @param spillShare share of the upstream's chats, from 0 to 1, that go to their next choice to relieve it
 */
public record UpstreamView(
        UpstreamId id,
        String host,
        int port,
        FailureDomainId domain,
        double weight,
        int allowance,
        double spillShare,
        UpstreamTracker tracker) {}
