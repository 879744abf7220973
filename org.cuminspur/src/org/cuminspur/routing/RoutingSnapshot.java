package org.cuminspur.routing;

import java.util.Map;
import org.cuminspur.config.FleetConfig;
import org.cuminspur.id.Revision;
import org.cuminspur.id.ServiceId;

/**
 * The state from which traffic threads decide; built by the control thread at each tick.
 *
 * <p>Immutable and safe to share between threads.
 *
 * @param configured whether any configuration is in force
 * @param ready whether the balancer should send new requests to this instance
 */
public record RoutingSnapshot(
        Revision revision,
        RouteTable routes,
        Map<ServiceId, UpstreamSet> upstreams,
        boolean configured,
        boolean ready) {
    /** The snapshot before the first tick. */
    public static final RoutingSnapshot EMPTY =
            new RoutingSnapshot(Revision.NONE, new RouteTable(FleetConfig.EMPTY), Map.of(), false, false);

    public RoutingSnapshot {
        upstreams = Map.copyOf(upstreams);
    }
}
