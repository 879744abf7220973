package org.cuminspur.reachability;

import java.util.Optional;
import java.util.Set;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.ServiceId;
import org.cuminspur.traffic.FleetView;
import org.cuminspur.traffic.UpstreamEntry;

/** Decides for one instance by which way its callers' requests go; not thread-safe. */
interface PathPolicy {
    default void update(FleetView view) {}

    default void connected(UpstreamEntry upstream) {}

    default void connectFailed(UpstreamEntry upstream, long startedMillis) {}

    default void received(UpstreamEntry upstream) {}

    /** Handles that requests to a service wait while no upstream of it sends a byte. */
    default void silent(ServiceId service) {}

    /** Returns whether the next request goes to an upstream from here. */
    default boolean usesOwnPath(ServiceId service) {
        return true;
    }

    /** Returns the instance that the next request goes through otherwise. */
    default Optional<InstanceId> relay(ServiceId service, Set<InstanceId> tried) {
        return Optional.empty();
    }

    /** Handles that an instance could not serve a request of this one. */
    default void relayFailed(ServiceId service, InstanceId relay) {}

    /** Returns whether a request that came through another instance may be passed on to a third one. */
    default boolean passesOn() {
        return false;
    }

    /** Returns whether the balancer may send new callers here. */
    default boolean ready() {
        return true;
    }

    /** Returns whether a request that may have run is sent again although it must run at most once. */
    default boolean repeatsWhatMayHaveRun() {
        return false;
    }
}
