package org.cuminspur.traffic;

import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.ServiceId;
import org.cuminspur.id.UpstreamId;

/**
 * What an upstream last said of itself; immutable.
 *
 * @param startedMillis when the process started, in milliseconds since the epoch; a new start under the same id differs
 * @param slots requests that it serves at once
 * @param draining whether it takes no new work
 * @param remainingWarmupMillis how much longer it is cold, 0 once warm
 */
public record UpstreamEntry(
        UpstreamId id,
        long startedMillis,
        ServiceId service,
        String host,
        int port,
        FailureDomainId domain,
        int slots,
        boolean draining,
        long remainingWarmupMillis) {
    /** Returns whether both entries are of one run of one process. */
    public boolean sameProcess(UpstreamEntry other) {
        return id.equals(other.id)
                && startedMillis == other.startedMillis
                && port == other.port
                && host.equals(other.host)
                && service.equals(other.service);
    }
}
