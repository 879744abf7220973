package org.cuminspur.traffic;

import java.util.List;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.internal.hash.Rendezvous;

/**
 * Divides the request rate of a cold upstream among the instances of the fleet; stateless and thread-safe.
 *
 * <p>The shares of all instances sum to at most the rate. What an even division leaves over goes, one request a second
 * each, to the first instances in the upstream's rendezvous order.
 */
final class ColdRateShare {
    /** Share of the rate that is allocated; the rest covers bursts caused by uneven network delay. */
    private static final double ALLOCATED_SHARE = 0.9;

    private ColdRateShare() {}

    /** Returns how many requests an instance may send to a cold upstream within any second. */
    static int requestsPerSecond(
            UpstreamId upstream, InstanceId self, List<InstanceId> fleet, ServiceLimits limits, TrafficBounds bounds) {
        int fleetRate = fleetRequestsPerSecond(limits, bounds);
        int instances = Math.max(1, fleet.size());
        int evenShare = fleetRate / instances;
        int remainder = fleetRate - evenShare * instances;
        return rank(upstream, self, fleet) < remainder ? evenShare + 1 : evenShare;
    }

    /** Returns how many requests all instances together may send to a cold upstream within any second. */
    static int fleetRequestsPerSecond(ServiceLimits limits, TrafficBounds bounds) {
        return (int) (ALLOCATED_SHARE * (limits.warmupPerSecond() * bounds.coldRateFactor() + bounds.coldRateSlack()));
    }

    private static long rank(UpstreamId upstream, InstanceId self, List<InstanceId> fleet) {
        long upstreamHash = Rendezvous.hash(upstream.value());
        long selfHash = Rendezvous.mix(upstreamHash, Rendezvous.hash(self.value()));
        return fleet.stream()
                .mapToLong(other -> Rendezvous.mix(upstreamHash, Rendezvous.hash(other.value())))
                .filter(hash -> Long.compareUnsigned(hash, selfHash) > 0)
                .count();
    }
}
