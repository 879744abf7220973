package org.cuminspur.traffic;

import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.ServiceId;
import org.cuminspur.id.UpstreamId;

/**
 * What an upstream last said of itself; immutable.
 *
 * @param bornMillis when the process started, in milliseconds since the epoch; a new start under the same id differs
 * @param slots requests that it serves at once
 * @param leaving whether it takes no new work
 * @param coldLeftMillis how much longer it is cold, 0 once warm
 */
public record UpstreamEntry(
        UpstreamId id,
        long bornMillis,
        ServiceId service,
        String host,
        int port,
        FailureDomainId domain,
        int slots,
        boolean leaving,
        long coldLeftMillis) {
    /** Returns whether both entries are of one run of one process. */
    public boolean sameRun(UpstreamEntry other) {
        return id.equals(other.id)
                && bornMillis == other.bornMillis
                && port == other.port
                && host.equals(other.host)
                && service.equals(other.service);
    }
}
