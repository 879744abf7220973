package org.cuminspur.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.ServiceId;
import org.cuminspur.id.SoftwareVersion;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.testing.VirtualTime;
import org.cuminspur.traffic.FleetView;
import org.cuminspur.traffic.NetworkAddress;
import org.cuminspur.traffic.UpstreamEntry;

/**
 * Upstreams that crash and come back with another id, and their entries in the store; not thread-safe.
 *
 * <p>The entry of a crashed upstream stays until its lease expires.
 */
final class SimulatedUpstreams {
    static final ServiceId MODEL = new ServiceId("model");
    private static final long DOWN_MS = 3_200;
    private static final long LEASE_MS = 3_600;

    /** A process and the requests in progress there. */
    static final class Upstream {
        final UpstreamEntry entry;
        final List<SimulatedAttempt> inProgress = new ArrayList<>();
        boolean running = true;

        Upstream(UpstreamEntry entry) {
            this.entry = entry;
        }
    }

    private final VirtualTime time;
    private final Runnable onEntriesChanged;
    private final Map<UpstreamId, Upstream> processes = new HashMap<>();
    private final Map<UpstreamId, UpstreamEntry> published = new LinkedHashMap<>();
    private int started;

    SimulatedUpstreams(VirtualTime time, Runnable onEntriesChanged) {
        this.time = time;
        this.onEntriesChanged = onEntriesChanged;
    }

    void start(int address) {
        UpstreamEntry entry = new UpstreamEntry(
                new UpstreamId(String.format("upstream-%05d", started++)),
                time.nowMillis(),
                MODEL,
                "10.0.0." + address,
                8_080,
                new FailureDomainId("domain-" + address % 3),
                new SoftwareVersion("v1"),
                16,
                false,
                0);
        processes.put(entry.id(), new Upstream(entry));
        published.put(entry.id(), entry);
        onEntriesChanged.run();
    }

    Upstream find(UpstreamId id) {
        return processes.get(id);
    }

    /** Ends a process; returns the requests that were in progress there. */
    List<SimulatedAttempt> crash(Upstream upstream) {
        upstream.running = false;
        UpstreamId id = upstream.entry.id();
        time.schedule(LEASE_MS, () -> {
            published.remove(id);
            onEntriesChanged.run();
        });
        int address = Integer.parseInt(upstream.entry.host().substring("10.0.0.".length()));
        time.schedule(DOWN_MS, () -> start(address));
        List<SimulatedAttempt> broken = List.copyOf(upstream.inProgress);
        upstream.inProgress.clear();
        return broken;
    }

    /** Returns a running process, empty if there is none. */
    Optional<Upstream> anyRunning(Random random) {
        List<Upstream> running = processes.values().stream()
                .filter(upstream -> upstream.running)
                .sorted((a, b) -> a.entry.id().compareTo(b.entry.id()))
                .toList();
        return running.isEmpty() ? Optional.empty() : Optional.of(running.get(random.nextInt(running.size())));
    }

    boolean isListening(String host) {
        return processes.values().stream()
                .anyMatch(upstream -> upstream.running && upstream.entry.host().equals(host));
    }

    /** Returns the running process at an address, empty if there is none. */
    Optional<Upstream> runningAt(int address) {
        return processes.values().stream()
                .filter(upstream -> upstream.running && upstream.entry.host().equals("10.0.0." + address))
                .findFirst();
    }

    FleetView view(List<InstanceId> instances) {
        Map<InstanceId, NetworkAddress> peers = new HashMap<>();
        instances.forEach(id -> peers.put(id, new NetworkAddress("127.0.0.1", 1)));
        return new FleetView(Optional.empty(), published, Set.of(), instances, peers, Map.of());
    }
}
