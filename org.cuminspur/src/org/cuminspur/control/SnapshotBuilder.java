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
 * Builds routing snapshots from the tables.
 *
 * <p>Used on the control thread only. The route table is built anew only when the revision changes.
 */
final class SnapshotBuilder {
    private RouteTable routes = new RouteTable(FleetConfig.EMPTY);
    private Revision routesRevision = Revision.NONE;

    RoutingSnapshot build(Tables tables) {
        if (!tables.document().revision().equals(routesRevision)) {
            routes = new RouteTable(tables.config());
            routesRevision = tables.document().revision();
        }
        Map<ServiceId, UpstreamSet> sets = tables.config().services().values().stream()
                .collect(Collectors.toMap(ServiceSpec::id, service -> upstreams(tables, service)));
        boolean configured = !tables.document().revision().equals(Revision.NONE);
        boolean ready =
                configured && !tables.stopping() && !tables.out(tables.self().domain());
        return new RoutingSnapshot(tables.document().revision(), routes, sets, configured, ready);
    }

    private static UpstreamSet upstreams(Tables tables, ServiceSpec service) {
        UpstreamView[] views = tables.upstreams()
                .filter(row -> row.service().equals(service.id()))
                .filter(row -> !row.leaving() && !tables.out(row))
                .map(row -> view(row))
                .toArray(UpstreamView[]::new);
        return new UpstreamSet(service, views);
    }

    private static UpstreamView view(UpstreamRow row) {
        ListedInstance listed = row.listed();
        return new UpstreamView(
                row.id(),
                listed.host(),
                listed.port(ListedInstance.HTTP_PORT),
                row.domain(),
                row.weight(),
                row.allowance(),
                row.spill(),
                row.tracker());
    }
}
