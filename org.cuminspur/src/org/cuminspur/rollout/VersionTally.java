package org.cuminspur.rollout;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cuminspur.id.RouteId;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.internal.hash.Rendezvous;

/** Counts the good and bad answers that one instance gets during a roll-out, by route; confined to the traffic thread. */
final class VersionTally {
    private static final int BITS = 64;

    private record Counts(VersionCounts serving, VersionCounts target) {
        static final Counts NONE = new Counts(VersionCounts.NONE, VersionCounts.NONE);
    }

    private final Map<RouteId, Counts> routes = new HashMap<>();
    private long badUpstreams;

    /** Records an answer. */
    void record(RouteId route, UpstreamId upstream, boolean ofTarget, boolean bad) {
        Counts before = routes.getOrDefault(route, Counts.NONE);
        routes.put(
                route,
                ofTarget
                        ? new Counts(before.serving(), before.target().plus(bad))
                        : new Counts(before.serving().plus(bad), before.target()));
        if (ofTarget && bad) {
            badUpstreams |= 1L << Math.floorMod(Rendezvous.hash(upstream.value()), BITS);
        }
    }

    /** Returns the counts of the routes with the most answers of the target, then of the others. */
    List<RouteCounts> counts() {
        Comparator<RouteCounts> order =
                Comparator.comparingInt(counts -> -counts.target().answers());
        return routes.entrySet().stream()
                .map(entry -> new RouteCounts(
                        Rendezvous.hash(entry.getKey().value()),
                        entry.getValue().serving(),
                        entry.getValue().target()))
                .sorted(order.thenComparingInt(counts -> -counts.serving().answers()))
                .limit(RolloutCodec.MAX_ROUTES)
                .toList();
    }

    /** Returns a bit for each of the target's upstreams that gave bad answers, by a hash of its id. */
    long badUpstreams() {
        return badUpstreams;
    }
}
