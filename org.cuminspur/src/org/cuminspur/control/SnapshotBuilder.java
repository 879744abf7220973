package org.cuminspur.control;

import java.util.Map;
import java.util.stream.Collectors;
import org.cuminspur.config.FleetConfig;
import org.cuminspur.config.ServiceSpec;
import org.cuminspur.id.Revision;
import org.cuminspur.id.ServiceId;
import org.cuminspur.routing.RouteTable;
import org.cuminspur.routing.RoutingSnapshot;
import org.cuminspur.routing.UpstreamSet;
import org.cuminspur.routing.UpstreamView;

/**
 * Builds routing snapshots from the control state.
 *
 * <p>Used on the control thread only. The route table is rebuilt only when the revision changes.
 */
final class SnapshotBuilder {
    private RouteTable routes = new RouteTable(FleetConfig.EMPTY);
    private Revision routesRevision = Revision.NONE;

    RoutingSnapshot build(ControlState state) {
        if (!state.configDocument().revision().equals(routesRevision)) {
            routes = new RouteTable(state.config());
            routesRevision = state.configDocument().revision();
        }
        Map<ServiceId, UpstreamSet> sets = state.config().services().values().stream()
                .collect(Collectors.toMap(ServiceSpec::id, service -> upstreamSet(state, service)));
        boolean configured = !state.configDocument().revision().equals(Revision.NONE);
        boolean ready = configured
                && !state.stopping()
                && !state.isOutOfService(state.self().domain());
        return new RoutingSnapshot(state.configDocument().revision(), routes, sets, configured, ready);
    }

    private static UpstreamSet upstreamSet(ControlState state, ServiceSpec service) {
        UpstreamView[] views = state.upstreams()
                .filter(upstream -> upstream.service().equals(service.id()))
                .filter(upstream -> !upstream.leaving() && !state.isOutOfService(upstream))
                .map(upstream -> view(upstream))
                .toArray(UpstreamView[]::new);
        return new UpstreamSet(service, views);
    }

    private static UpstreamView view(UpstreamRecord upstream) {
        ListedInstance listed = upstream.listed();
        return new UpstreamView(
                upstream.id(),
                listed.host(),
                listed.port(ListedInstance.HTTP_PORT),
                upstream.domain(),
                upstream.weight(),
                upstream.allowance(),
                upstream.spillShare(),
                upstream.tracker());
    }
}
