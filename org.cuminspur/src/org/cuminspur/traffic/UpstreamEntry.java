package org.cuminspur.traffic;

import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.ServiceId;
import org.cuminspur.id.SoftwareVersion;
import org.cuminspur.id.UpstreamId;

/**
 * The entry that an upstream last published about itself; immutable.
 *
 * @param startedMillis start of the process, in milliseconds since the epoch; differs after a restart under the same id
 * @param version version of its software; streams of two versions do not fit together
 * @param slots maximum number of concurrent requests
 * @param draining whether it accepts no new work
 * @param remainingWarmupMillis how long it will stay cold, 0 once warm
 */
public record UpstreamEntry(
        UpstreamId id,
        long startedMillis,
        ServiceId service,
        String host,
        int port,
        FailureDomainId domain,
        SoftwareVersion version,
        int slots,
        boolean draining,
        long remainingWarmupMillis) {
    /** Returns whether both entries are of the same process, start and software. */
    public boolean sameProcess(UpstreamEntry other) {
        return id.equals(other.id)
                && startedMillis == other.startedMillis
                && port == other.port
                && host.equals(other.host)
                && service.equals(other.service)
                && version.equals(other.version);
    }

    /** Returns this entry as that of an upstream that accepts no new work. */
    public UpstreamEntry asDraining() {
        return new UpstreamEntry(
                id, startedMillis, service, host, port, domain, version, slots, true, remainingWarmupMillis);
    }
}
