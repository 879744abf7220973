package org.cuminspur.traffic;

import java.util.List;
import java.util.Map;
import org.cuminspur.id.Revision;
import org.cuminspur.id.ServiceId;

/**
 * One revision of the operators' configuration in full; immutable.
 *
 * @param accountsByKey the account that holds each key
 * @param keysRequired whether callers must name a key on routes that are not keyless
 */
public record TrafficConfig(
        Revision revision,
        List<HostRoute> routes,
        Map<ServiceId, ServiceLimits> services,
        Map<String, ClientAccount> accountsByKey,
        boolean keysRequired,
        RequestLimits limits) {
    public TrafficConfig {
        routes = List.copyOf(routes);
        services = Map.copyOf(services);
        accountsByKey = Map.copyOf(accountsByKey);
    }
}
