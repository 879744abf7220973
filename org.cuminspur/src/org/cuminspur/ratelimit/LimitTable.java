package org.cuminspur.ratelimit;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.cuminspur.traffic.UpstreamProcessId;

/**
 * The limits that upstreams name, as far as an instance knows.
 *
 * <p>Not thread-safe. The latest response counts, whichever instance got it. Responses overtake each other, so a limit
 * ends only with a response to a request that was sent after the limit was named last. A limit that no response has
 * named for a while is forgotten.
 */
final class LimitTable {
    /** How long a response speaks for the limit; many times the interval between requests that a limit allows. */
    static final long RETENTION_MS = 10_000;

    /** Uncertainty of the age of a fact, by its time on the way; a named limit wins within it. */
    private static final long AGE_TOLERANCE_MS = 20;

    /** Relative change of a limit from which other instances are told at once. */
    private static final double MIN_CHANGE = 0.05;

    private static final int MAX_UPSTREAMS = 4_096;

    private record Known(boolean named, double requestsPerSecond, long atMillis) {}

    private final Map<UpstreamProcessId, Known> limits = new HashMap<>();

    boolean isEmpty() {
        return limits.isEmpty();
    }

    /** Records a response to this instance; returns the fact if others must be told at once. */
    Optional<LimitFact> record(UpstreamProcessId upstream, OptionalDouble limit, long sentMillis, long nowMillis) {
        Known before = limits.get(upstream);
        boolean wasNamed = before != null && before.named();
        if (limit.isEmpty()) {
            if (!wasNamed || sentMillis < before.atMillis()) {
                return Optional.empty();
            }
            limits.put(upstream, new Known(false, 0, nowMillis));
            return Optional.of(new LimitFact(upstream, false, 0, 0));
        }
        double rate = limit.getAsDouble();
        put(upstream, new Known(true, rate, nowMillis), nowMillis);
        boolean changed =
                !wasNamed || Math.abs(rate - before.requestsPerSecond()) > MIN_CHANGE * before.requestsPerSecond();
        return changed ? Optional.of(new LimitFact(upstream, true, rate, 0)) : Optional.empty();
    }

    /** Adds what another instance knows. */
    void add(LimitFact fact, long nowMillis) {
        Known known = new Known(fact.named(), fact.requestsPerSecond(), nowMillis - fact.ageMillis());
        Known before = limits.get(fact.upstream());
        boolean newer = before == null
                || known.atMillis() > before.atMillis() + AGE_TOLERANCE_MS
                || (known.named() && !before.named() && known.atMillis() > before.atMillis() - AGE_TOLERANCE_MS);
        if (newer && fact.ageMillis() < RETENTION_MS) {
            put(fact.upstream(), known, nowMillis);
        }
    }

    /** Returns an upstream's limit in requests a second, empty if it names none. */
    OptionalDouble find(UpstreamProcessId upstream, long nowMillis) {
        Known known = limits.get(upstream);
        return known == null || !known.named() || nowMillis - known.atMillis() >= RETENTION_MS
                ? OptionalDouble.empty()
                : OptionalDouble.of(known.requestsPerSecond());
    }

    /** Returns all that is known, and forgets what has expired. */
    List<LimitFact> facts(long nowMillis) {
        evictExpired(nowMillis);
        return limits.entrySet().stream()
                .map(entry -> new LimitFact(
                        entry.getKey(),
                        entry.getValue().named(),
                        entry.getValue().requestsPerSecond(),
                        Math.max(0, nowMillis - entry.getValue().atMillis())))
                .toList();
    }

    private void put(UpstreamProcessId upstream, Known known, long nowMillis) {
        if (limits.size() >= MAX_UPSTREAMS && !limits.containsKey(upstream)) {
            evictExpired(nowMillis);
        }
        if (limits.size() < MAX_UPSTREAMS || limits.containsKey(upstream)) {
            limits.put(upstream, known);
        }
    }

    private void evictExpired(long nowMillis) {
        limits.values().removeIf(known -> nowMillis - known.atMillis() >= RETENTION_MS);
    }
}
