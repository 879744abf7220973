package org.cuminspur.routing;

import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.UpstreamId;

/**
 * An upstream as traffic threads see it; immutable except for its tracker, which is thread-safe.
 *
 * @param host IP address
 * @param weight relative share in placement; 1 is an even share
 * @param allowance the most requests that this router may have in progress there
 * @param spillShare share of the upstream's chats, from 0 to 1, that go to their next choice to reduce its load
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
