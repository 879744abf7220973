package org.cuminspur.traffic;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.cuminspur.id.ServiceId;
import org.cuminspur.id.SoftwareVersion;

/**
 * The software versions that have served each service, and until when.
 *
 * <p>Not thread-safe; confined to the traffic thread.
 */
final class VersionHistory {
    private final Map<ServiceId, Map<SoftwareVersion, Long>> lastServedMillis = new HashMap<>();
    private FleetView view = FleetView.EMPTY;
    private long watchedSinceMillis = Long.MAX_VALUE;

    /** Applies a newer view of the fleet. */
    void update(FleetView newView, long nowMillis) {
        if (watchedSinceMillis == Long.MAX_VALUE && !newView.upstreams().isEmpty()) {
            watchedSinceMillis = nowMillis;
        }
        recordServing(nowMillis);
        view = newView;
        recordServing(nowMillis);
    }

    /**
     * Returns the version at which every stream began that may still be resumed, empty if there may be several.
     *
     * <p>Where this instance has not watched for that long, upstreams that started earlier stand for the time before.
     *
     * @param retentionMillis how long after its beginning a stream may be resumed
     * @param wallMillis time of day
     */
    Optional<SoftwareVersion> onlyVersion(ServiceId service, long retentionMillis, long nowMillis, long wallMillis) {
        recordServing(nowMillis);
        Set<SoftwareVersion> versions = lastServedMillis.getOrDefault(service, Map.of()).entrySet().stream()
                .filter(served -> served.getValue() >= nowMillis - retentionMillis)
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
        boolean watched = watchedSinceMillis <= nowMillis - retentionMillis;
        boolean unchanged = view.upstreams().values().stream()
                .filter(entry -> entry.service().equals(service))
                .allMatch(entry -> entry.startedMillis() <= wallMillis - retentionMillis);
        return versions.size() == 1 && (watched || unchanged)
                ? versions.stream().findFirst()
                : Optional.empty();
    }

    private void recordServing(long nowMillis) {
        view.upstreams()
                .values()
                .forEach(entry -> lastServedMillis
                        .computeIfAbsent(entry.service(), absent -> new HashMap<>())
                        .put(entry.version(), nowMillis));
    }
}
