package org.cuminspur.traffic;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Finds the route of a request; immutable and thread-safe.
 *
 * <p>Of the routes of a host, the one with the longest matching path prefix is selected.
 */
public final class HostRouteTable {
    private static final Comparator<HostRoute> LONGEST_FIRST = Comparator.comparingInt(
                    (HostRoute route) -> route.prefix().length())
            .reversed();

    private final TrafficConfig config;
    private final Map<String, List<HostRoute>> byHost;

    public HostRouteTable(TrafficConfig config) {
        this.config = config;
        this.byHost = config.routes().stream()
                .sorted(LONGEST_FIRST)
                .collect(Collectors.groupingBy(route -> route.host().toLowerCase(Locale.ROOT)));
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
        return byHost.getOrDefault(name, List.of()).stream()
                .filter(route -> path.startsWith(route.prefix()))
                .findFirst();
    }
}
