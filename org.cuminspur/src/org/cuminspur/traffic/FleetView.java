package org.cuminspur.traffic;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.ServiceId;
import org.cuminspur.id.SoftwareVersion;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.rollout.RolloutView;

/**
 * An instance's view of the fleet at one moment; immutable and thread-safe.
 *
 * @param drainedDomains failure domains that get no new requests
 * @param instances instances that share the fleet's limits, sorted by id
 * @param peers addresses of the instances that receive datagrams
 * @param promptTables owners of the prompts of each service
 * @param servedVersions the versions that have served each service with streams that can be resumed, as the store holds
 *     them; none for a service without a record
 * @param rollouts the roll-outs of services that have an order or a record of one
 */
public record FleetView(
        Optional<HostRouteTable> routes,
        Map<UpstreamId, UpstreamEntry> upstreams,
        Set<FailureDomainId> drainedDomains,
        List<InstanceId> instances,
        Map<InstanceId, NetworkAddress> peers,
        Map<ServiceId, PromptTable> promptTables,
        Map<ServiceId, ServedVersions> servedVersions,
        Map<ServiceId, RolloutView> rollouts) {
    /** Time past a stream's deadline during which its caller may still resume it. */
    public static final long RESUME_MARGIN_MS = 5_000;

    /** The view before the first read of the store. */
    public static final FleetView EMPTY =
            new FleetView(Optional.empty(), Map.of(), Set.of(), List.of(), Map.of(), Map.of());

    /** Creates a view without records of versions and without roll-outs. */
    public FleetView(
            Optional<HostRouteTable> routes,
            Map<UpstreamId, UpstreamEntry> upstreams,
            Set<FailureDomainId> drainedDomains,
            List<InstanceId> instances,
            Map<InstanceId, NetworkAddress> peers,
            Map<ServiceId, PromptTable> promptTables) {
        this(routes, upstreams, drainedDomains, instances, peers, promptTables, Map.of(), Map.of());
    }

    /** Creates a view without roll-outs. */
    public FleetView(
            Optional<HostRouteTable> routes,
            Map<UpstreamId, UpstreamEntry> upstreams,
            Set<FailureDomainId> drainedDomains,
            List<InstanceId> instances,
            Map<InstanceId, NetworkAddress> peers,
            Map<ServiceId, PromptTable> promptTables,
            Map<ServiceId, ServedVersions> servedVersions) {
        this(routes, upstreams, drainedDomains, instances, peers, promptTables, servedVersions, Map.of());
    }

    public FleetView {
        upstreams = Map.copyOf(upstreams);
        drainedDomains = Set.copyOf(drainedDomains);
        instances = List.copyOf(instances);
        peers = Map.copyOf(peers);
        promptTables = Map.copyOf(promptTables);
        servedVersions = Map.copyOf(servedVersions);
        rollouts = Map.copyOf(rollouts);
    }

    /** Returns the number of instances that come before one by name; they go first where only one is to act. */
    public long precedingInstances(InstanceId instance) {
        return instances.stream().takeWhile(id -> !id.equals(instance)).count();
    }

    /** Returns whether upstreams of a version get ordinary work of a service, by the roll-outs. */
    boolean serves(ServiceId service, SoftwareVersion version) {
        RolloutView rollout = rollouts.get(service);
        return rollout == null || rollout.serves(version);
    }

    /** Returns the services with streams that can be resumed. */
    public Set<ServiceId> resumableServices() {
        return resumableRoutes()
                .flatMap(route -> route.weightedServices().stream())
                .map(WeightedService::service)
                .collect(Collectors.toSet());
    }

    /** Returns how long after its beginning any stream of a service may be resumed, in milliseconds. */
    public long streamRetentionMillis(ServiceId service) {
        long longestMillis = resumableRoutes()
                .filter(route -> route.weightedServices().stream()
                        .anyMatch(weighted -> weighted.service().equals(service)))
                .mapToLong(HostRoute::timeoutMillis)
                .max()
                .orElse(0);
        return longestMillis + RESUME_MARGIN_MS;
    }

    private Stream<HostRoute> resumableRoutes() {
        return routes.stream()
                .flatMap(table -> table.config().routes().stream())
                .filter(HostRoute::resumable);
    }

    /** Returns this view with other prompt tables. */
    FleetView withPromptTables(Map<ServiceId, PromptTable> newTables) {
        return new FleetView(routes, upstreams, drainedDomains, instances, peers, newTables, servedVersions, rollouts);
    }

    /** Returns this view with other roll-outs. */
    FleetView withRollouts(Map<ServiceId, RolloutView> newRollouts) {
        return new FleetView(
                routes, upstreams, drainedDomains, instances, peers, promptTables, servedVersions, newRollouts);
    }

    /** Returns this view with other records of versions. */
    FleetView withServedVersions(Map<ServiceId, ServedVersions> newVersions) {
        return new FleetView(routes, upstreams, drainedDomains, instances, peers, promptTables, newVersions, rollouts);
    }
}
