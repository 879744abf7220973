package org.cuminspur.reachability;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cuminspur.traffic.UpstreamEntry;
import org.cuminspur.traffic.UpstreamProcessId;

/**
 * The paths from this instance to the upstreams of one service, and what it believes of them.
 *
 * <p>Not thread-safe. Holds the upstreams of the present view only, so its size is bounded by theirs.
 */
final class ServicePath {
    private final Map<UpstreamProcessId, UpstreamPath> paths = new LinkedHashMap<>();
    private PathState state = PathState.REACHABLE;
    private long sinceMillis;

    ServicePath(long nowMillis) {
        sinceMillis = nowMillis;
    }

    /** Applies a newer view; what is known of a process is kept as long as it is listed. */
    void update(Collection<UpstreamEntry> entries) {
        List<UpstreamProcessId> listed =
                entries.stream().map(UpstreamProcessId::of).toList();
        paths.keySet().retainAll(listed);
        entries.forEach(entry -> paths.computeIfAbsent(UpstreamProcessId.of(entry), id -> new UpstreamPath(entry)));
    }

    Optional<UpstreamPath> find(UpstreamEntry upstream) {
        return Optional.ofNullable(paths.get(UpstreamProcessId.of(upstream)));
    }

    Collection<UpstreamPath> paths() {
        return paths.values();
    }

    long failing() {
        return paths.values().stream().filter(UpstreamPath::isFailing).count();
    }

    /** Returns the number of upstreams to which a connection was made since a time, and none failed after it. */
    long connectedSince(long millis) {
        return paths.values().stream()
                .filter(path -> !path.isFailing() && path.connectedMillis() >= millis)
                .count();
    }

    PathState state() {
        return state;
    }

    /** Returns since when the state holds. */
    long sinceMillis() {
        return sinceMillis;
    }

    void enter(PathState next, long nowMillis) {
        state = next;
        sinceMillis = nowMillis;
    }
}
