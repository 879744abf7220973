package org.cuminspur.traffic;

import java.util.List;
import java.util.Map;
import org.cuminspur.id.Revision;
import org.cuminspur.id.ServiceId;

/**
 * One complete revision of the operators' configuration; immutable.
 *
 * @param accountsByKey client accounts by API key
 * @param keysRequired whether callers must send a key, except on routes that are exempt from authentication
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
