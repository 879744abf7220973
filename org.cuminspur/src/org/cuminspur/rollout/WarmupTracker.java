package org.cuminspur.rollout;

import java.util.HashMap;
import java.util.Map;
import java.util.stream.Collectors;
import org.cuminspur.traffic.FleetView;
import org.cuminspur.traffic.UpstreamEntry;
import org.cuminspur.traffic.UpstreamProcessId;

/**
 * Tells which upstreams all instances take for warm; confined to the timer thread.
 *
 * <p>Instances read an entry at different times, and each takes the upstream for cold for the time that the entry states, and a
 * second more, from then on. A promotion before that would send all requests to upstreams that take few, and refuse the rest.
 */
final class WarmupTracker {
    /** Time by which the last instance takes an upstream for warm later than the entry says: it reads it 1.5 s later. */
    private static final long MARGIN_MS = 2_500;

    /** An entry that states a warm-up, and until when it holds; immutable. */
    private record Warmup(UpstreamEntry entry, long untilMillis) {}

    private final Map<UpstreamProcessId, Warmup> warmups = new HashMap<>();

    /** Applies a newer view; an entry that has not changed says nothing new. */
    void update(FleetView view, long nowMillis) {
        warmups.keySet()
                .retainAll(view.upstreams().values().stream()
                        .map(UpstreamProcessId::of)
                        .collect(Collectors.toSet()));
        view.upstreams().values().stream()
                .filter(entry -> entry.remainingWarmupMillis() > 0)
                .forEach(entry -> warmups.compute(
                        UpstreamProcessId.of(entry), (process, known) -> updated(known, entry, nowMillis)));
    }

    private static Warmup updated(Warmup known, UpstreamEntry entry, long nowMillis) {
        if (known != null && known.entry().equals(entry)) {
            return known;
        }
        long untilMillis = nowMillis + entry.remainingWarmupMillis() + MARGIN_MS;
        return new Warmup(entry, known == null ? untilMillis : Math.max(known.untilMillis(), untilMillis));
    }

    /** Returns whether all instances take an upstream for warm. */
    boolean isWarm(UpstreamEntry entry, long nowMillis) {
        Warmup known = warmups.get(UpstreamProcessId.of(entry));
        return known == null || known.untilMillis() <= nowMillis;
    }
}
