package org.cuminspur.config;

import java.util.Map;
import org.cuminspur.id.AccountId;
import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.RouteId;
import org.cuminspur.id.ServiceId;

/**
 * The configuration that operators have published, validated as a whole.
 *
 * <p>Immutable. Every service and account that a route names is present, and account keys are unique.
 */
public record FleetConfig(
        Map<ServiceId, ServiceSpec> services,
        Map<RouteId, RouteSpec> routes,
        Map<AccountId, AccountSpec> accounts,
        Map<FailureDomainId, DomainSpec> domains) {
    /** The configuration before the first publication. */
    public static final FleetConfig EMPTY = new FleetConfig(Map.of(), Map.of(), Map.of(), Map.of());

    public FleetConfig {
        services = Map.copyOf(services);
        routes = Map.copyOf(routes);
        accounts = Map.copyOf(accounts);
        domains = Map.copyOf(domains);
    }
}
