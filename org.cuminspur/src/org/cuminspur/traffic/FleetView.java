package org.cuminspur.traffic;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.ServiceId;
import org.cuminspur.id.UpstreamId;

/**
 * All that an instance knows of the fleet at one moment; immutable and safe to share between threads.
 *
 * @param emptied failure domains that get no new work
 * @param instances instances that share the fleet's limits, in order of their ids
 * @param prompts which upstream of a service keeps which prompts
 */
public record FleetView(
        Optional<HostRouteTable> routes,
        Map<UpstreamId, UpstreamEntry> upstreams,
        Set<FailureDomainId> emptied,
        List<InstanceId> instances,
        Map<ServiceId, PromptTable> prompts) {
    /** What is known before the first read of the store. */
    public static final FleetView NONE = new FleetView(Optional.empty(), Map.of(), Set.of(), List.of(), Map.of());

    public FleetView {
        upstreams = Map.copyOf(upstreams);
        emptied = Set.copyOf(emptied);
        instances = List.copyOf(instances);
        prompts = Map.copyOf(prompts);
    }

    /** Returns the same view with other tables of prompts. */
    FleetView with(Map<ServiceId, PromptTable> tables) {
        return new FleetView(routes, upstreams, emptied, instances, tables);
    }
}
