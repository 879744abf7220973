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
 * @param drainedDomains failure domains that get no new work
 * @param instances instances that share the fleet's limits, in order of their ids
 * @param promptTables which upstream of a service keeps which prompts
 */
public record FleetView(
        Optional<HostRouteTable> routes,
        Map<UpstreamId, UpstreamEntry> upstreams,
        Set<FailureDomainId> drainedDomains,
        List<InstanceId> instances,
        Map<ServiceId, PromptTable> promptTables) {
    /** What is known before the first read of the store. */
    public static final FleetView EMPTY = new FleetView(Optional.empty(), Map.of(), Set.of(), List.of(), Map.of());

    public FleetView {
        upstreams = Map.copyOf(upstreams);
        drainedDomains = Set.copyOf(drainedDomains);
        instances = List.copyOf(instances);
        promptTables = Map.copyOf(promptTables);
    }

    /** Returns the same view with other tables of prompts. */
    FleetView withPromptTables(Map<ServiceId, PromptTable> newTables) {
        return new FleetView(routes, upstreams, drainedDomains, instances, newTables);
    }
}
