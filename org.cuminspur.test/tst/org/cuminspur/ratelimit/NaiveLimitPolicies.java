package org.cuminspur.ratelimit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.DoubleUnaryOperator;
import org.cuminspur.time.Clock;
import org.cuminspur.traffic.PlacementDecision;
import org.cuminspur.traffic.PromptPlacement;
import org.cuminspur.traffic.UpstreamState;

/** Policies that a checker must detect; not thread-safe. */
final class NaiveLimitPolicies {
    private static final long SECOND_MS = 1_000;

    private NaiveLimitPolicies() {}

    /**
     * Sends a number of requests in each second, without a word to other instances.
     *
     * @param share of a limit that this instance takes, in requests a second
     */
    static LimitPolicy ownShare(Clock clock, PromptPlacement placement, DoubleUnaryOperator share) {
        return new LimitPolicy() {
            private final Map<UpstreamState, Deque<Long>> sent = new HashMap<>();

            @Override
            public void responded(UpstreamState upstream, long sentMillis, Optional<NamedLimit> limit) {
                upstream.recordNamedLimit(limit);
            }

            @Override
            public void choose(
                    List<UpstreamState> service,
                    PromptPlacement.Criteria criteria,
                    Consumer<Optional<UpstreamState>> result) {
                List<UpstreamState> allowed =
                        service.stream().filter(this::withinShare).toList();
                Optional<UpstreamState> chosen =
                        placement.choose(allowed, criteria, clock.millis()).map(PlacementDecision::upstream);
                chosen.ifPresent(upstream -> sent.get(upstream).add(clock.millis()));
                result.accept(chosen);
            }

            private boolean withinShare(UpstreamState upstream) {
                Deque<Long> ofUpstream = sent.computeIfAbsent(upstream, absent -> new ArrayDeque<>());
                ofUpstream.removeIf(millis -> millis <= clock.millis() - SECOND_MS);
                return upstream.namedLimit()
                        .map(limit -> ofUpstream.size() + 1 <= share.applyAsDouble(limit.requestsPerSecond()))
                        .orElse(true);
            }
        };
    }
}
