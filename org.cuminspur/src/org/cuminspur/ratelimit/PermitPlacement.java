package org.cuminspur.ratelimit;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.time.Clock;
import org.cuminspur.traffic.PlacementDecision;
import org.cuminspur.traffic.PromptPlacement;
import org.cuminspur.traffic.UpstreamState;

/**
 * Chooses the upstream for a request among those whose limits allow it.
 *
 * <p>Not thread-safe; confined to the traffic thread. A request whose first choice has no permit goes elsewhere at once;
 * after a few such answers only upstreams without limits are left.
 */
public final class PermitPlacement {
    /** Permits that one request asks for at most, each of which takes a round trip. */
    static final int MAX_QUERIES = 4;

    private final PromptPlacement placement;
    private final RateLimits limits;
    private final Clock clock;

    public PermitPlacement(PromptPlacement placement, RateLimits limits, Clock clock) {
        this.placement = placement;
        this.limits = limits;
        this.clock = clock;
    }

    /**
     * Chooses an upstream.
     *
     * @param service returns the upstreams of the service, which may change between two permits
     * @param result receives the choice at once or soon, empty if no upstream may take the request now
     */
    public void choose(
            Supplier<List<UpstreamState>> service,
            PromptPlacement.Criteria criteria,
            Consumer<Optional<PlacementDecision>> result) {
        choose(service, criteria, MAX_QUERIES, result);
    }

    private void choose(
            Supplier<List<UpstreamState>> service,
            PromptPlacement.Criteria criteria,
            int queriesLeft,
            Consumer<Optional<PlacementDecision>> result) {
        PromptPlacement.Criteria allowed = queriesLeft > 0 ? criteria : withoutLimited(criteria, service.get());
        Optional<PlacementDecision> chosen = placement.choose(service.get(), allowed, clock.millis());
        if (chosen.isEmpty()) {
            result.accept(chosen);
            return;
        }
        UpstreamState upstream = chosen.get().upstream();
        limits.acquire(upstream, criteria.version().isPresent(), granted -> {
            boolean current = service.get().contains(upstream)
                    && upstream.mayTakeRequest(clock.millis())
                    && upstream.leftOutMillis(clock.millis()) == 0;
            if (granted && current) {
                result.accept(chosen);
            } else {
                choose(service, criteria, queriesLeft - 1, result);
            }
        });
    }

    private PromptPlacement.Criteria withoutLimited(PromptPlacement.Criteria criteria, List<UpstreamState> service) {
        Set<UpstreamId> excluded = new HashSet<>(criteria.triedUpstreams());
        service.stream().filter(limits::isLimited).map(UpstreamState::id).forEach(excluded::add);
        return new PromptPlacement.Criteria(
                criteria.sharedPrefixKey(),
                criteria.owner(),
                criteria.previousOwner(),
                criteria.lastServer(),
                excluded,
                criteria.version());
    }
}
