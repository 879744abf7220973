package org.cuminspur.traffic;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.Collectors;
import org.cuminspur.id.SoftwareVersion;

/** What a simulated store holds of the versions that have served, with the delays of its writers; not thread-safe. */
final class SimulatedVersionRecord {
    /** Time until the store holds that a version serves. */
    private static final long RECORD_MS = 2_000;

    /** Time after a version has left in which the store holds that it served. */
    private static final long RETENTION_MS = 25_000;

    private final Map<SoftwareVersion, Long> firstServedMillis = new HashMap<>();
    private final Map<SoftwareVersion, Long> lastServedMillis = new HashMap<>();

    void recordServing(Collection<UpstreamEntry> published, long nowMillis) {
        published.forEach(entry -> {
            firstServedMillis.putIfAbsent(entry.version(), nowMillis);
            lastServedMillis.put(entry.version(), nowMillis);
        });
    }

    ServedVersions stored(long nowMillis) {
        return new ServedVersions(firstServedMillis.entrySet().stream()
                .filter(first -> nowMillis - first.getValue() >= RECORD_MS)
                .map(Map.Entry::getKey)
                .filter(version -> nowMillis - lastServedMillis.get(version) <= RETENTION_MS)
                .collect(Collectors.toSet()));
    }
}
