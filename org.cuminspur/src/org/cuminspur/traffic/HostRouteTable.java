package org.cuminspur.traffic;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Finds the route of a request; immutable and thread-safe.
 *
 * <p>Of the routes of a host, the one with the longest matching path prefix is selected. Prefixes end with a slash, so only
 * those parts of a path are looked up that do; the cost does not grow with the number of routes.
 */
public final class HostRouteTable {
    private final TrafficConfig config;
    private final Map<String, Map<String, HostRoute>> byHost = new HashMap<>();

    public HostRouteTable(TrafficConfig config) {
        this.config = config;
        config.routes()
                .forEach(route -> byHost.computeIfAbsent(
                                route.host().toLowerCase(Locale.ROOT), absent -> new HashMap<>())
                        .putIfAbsent(route.prefix(), route));
    }

    /** Returns the configuration that the table was built from. */
    public TrafficConfig config() {
        return config;
    }

    /**
     * Returns the route of a request.
     *
     * @param host value of the Host header, with or without a port
     * @param path path as sent, without the query
     */
    public Optional<HostRoute> route(String host, String path) {
        int colon = host.indexOf(':');
        String name = (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
        Map<String, HostRoute> routes = byHost.getOrDefault(name, Map.of());
        for (int end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
            HostRoute route = routes.get(path.substring(0, end + 1));
            if (route != null) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }
}
