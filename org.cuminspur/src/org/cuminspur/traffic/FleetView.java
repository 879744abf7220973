package org.cuminspur.traffic;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.UpstreamId;

/**
 * All that an instance knows of the fleet at one moment; immutable and safe to share between threads.
 *
 * @param emptied failure domains that get no new work
 * @param instances instances that share the fleet's limits, in order of their ids
 */
public record FleetView(
        Optional<HostRouteTable> routes,
        Map<UpstreamId, UpstreamEntry> upstreams,
        Set<FailureDomainId> emptied,
        List<InstanceId> instances) {
    /** What is known before the first read of the store. */
    public static final FleetView NONE = new FleetView(Optional.empty(), Map.of(), Set.of(), List.of());

    public FleetView {
        upstreams = Map.copyOf(upstreams);
        emptied = Set.copyOf(emptied);
        instances = List.copyOf(instances);
    }
}
