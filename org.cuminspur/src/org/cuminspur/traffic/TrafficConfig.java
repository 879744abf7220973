package org.cuminspur.traffic;

import java.util.List;
import java.util.Map;
import org.cuminspur.id.Revision;
import org.cuminspur.id.ServiceId;

/**
 * One revision of the operators' configuration in full; immutable.
 *
 * @param accountsByKey the account that holds each key
 * @param keysNeeded whether callers must name a key on routes that are not keyless
 */
public record TrafficConfig(
        Revision revision,
        List<HostRoute> routes,
        Map<ServiceId, ServiceTerms> services,
        Map<String, TrafficAccount> accountsByKey,
        boolean keysNeeded,
        MessageLimits limits) {
    public TrafficConfig {
        routes = List.copyOf(routes);
        services = Map.copyOf(services);
        accountsByKey = Map.copyOf(accountsByKey);
    }
}
