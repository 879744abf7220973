package org.cuminspur.ratelimit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.DoubleUnaryOperator;
import org.cuminspur.time.Clock;
import org.cuminspur.traffic.UpstreamState;

/** Policies that a checker must detect; not thread-safe. */
final class NaiveLimitPolicies {
    private static final long SECOND_MS = 1_000;

    private NaiveLimitPolicies() {}

    /** Ignores limits. */
    static LimitPolicy none() {
        return ownShare(() -> 0, limit -> Double.MAX_VALUE);
    }

    /**
     * Sends a number of requests in each second, without a word to other instances.
     *
     * @param share of a limit that this instance takes, in requests a second
     */
    static LimitPolicy ownShare(Clock clock, DoubleUnaryOperator share) {
        return new LimitPolicy() {
            private final Map<UpstreamState, Deque<Long>> sent = new HashMap<>();

            @Override
            public void responded(UpstreamState upstream, long sentMillis, Optional<NamedLimit> limit) {
                upstream.recordNamedLimit(limit);
            }

            @Override
            public void acquire(UpstreamState upstream, Consumer<Boolean> granted) {
                long now = clock.millis();
                Deque<Long> ofUpstream = sent.computeIfAbsent(upstream, absent -> new ArrayDeque<>());
                ofUpstream.removeIf(millis -> millis <= now - SECOND_MS);
                boolean allowed = upstream.namedLimit()
                        .map(limit -> ofUpstream.size() + 1 <= share.applyAsDouble(limit.requestsPerSecond()))
                        .orElse(true);
                if (allowed) {
                    ofUpstream.add(now);
                }
                granted.accept(allowed);
            }
        };
    }
}
