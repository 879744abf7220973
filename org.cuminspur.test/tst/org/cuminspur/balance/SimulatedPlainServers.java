package org.cuminspur.balance;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.traffic.UpstreamEntry;

/** The upstreams of a service, one for each of some failure domains in turn; not thread-safe. */
final class SimulatedPlainServers {
    private static final double NOISE_SHARE = 0.15;
    private static final int NOISY_PERCENT = 250;

    private final Random random;
    private final Map<UpstreamId, UpstreamEntry> entries;
    private final Map<UpstreamId, SimulatedPlainServer> servers = new HashMap<>();

    SimulatedPlainServers(int count, List<FailureDomainId> domains, Random random) {
        this.random = random;
        entries = IntStream.range(0, count)
                .mapToObj(number -> SimulatedPlainServer.entry(number, domains.get(number % domains.size())))
                .collect(Collectors.toMap(UpstreamEntry::id, entry -> entry));
        entries.keySet().forEach(id -> servers.put(id, new SimulatedPlainServer(random)));
    }

    Map<UpstreamId, UpstreamEntry> entries() {
        return entries;
    }

    SimulatedPlainServer server(UpstreamId id) {
        return servers.get(id);
    }

    SimulatedPlainServer server(int number) {
        return servers.get(new UpstreamId("upstream-" + number));
    }

    /** Makes other machines slow. */
    void change() {
        servers.values().forEach(server -> server.percent = random.nextDouble() < NOISE_SHARE ? NOISY_PERCENT : 100);
    }

    /** Returns the arrivals at the busiest upstream over the mean. */
    double busiestOverMean() {
        double mean = servers.values().stream()
                .mapToLong(server -> server.arrivals)
                .average()
                .orElse(1);
        return servers.values().stream()
                        .mapToLong(server -> server.arrivals)
                        .max()
                        .orElse(0)
                / mean;
    }
}
