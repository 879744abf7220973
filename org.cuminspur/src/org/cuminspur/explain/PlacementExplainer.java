package org.cuminspur.explain;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.cuminspur.balance.BalanceExplanation;
import org.cuminspur.balance.FleetBalancer;
import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.ServiceId;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.time.Clock;
import org.cuminspur.traffic.HostRoute;
import org.cuminspur.traffic.PlacementDecision;
import org.cuminspur.traffic.PromptCacheHints;
import org.cuminspur.traffic.PromptDescription;
import org.cuminspur.traffic.PromptPlacement;
import org.cuminspur.traffic.UpstreamPool;
import org.cuminspur.traffic.UpstreamProcessId;
import org.cuminspur.traffic.UpstreamState;
import org.cuminspur.traffic.WeightedService;

/**
 * Explains where a request would go now, by the code that places requests.
 *
 * <p>Not thread-safe; confined to the traffic thread. Nothing is sent, assigned or counted. Chance is left out:
 * among upstreams that are nearly equal another one may be chosen.
 */
public final class PlacementExplainer {
    /** In place of the random number that decides among nearly equal loads. */
    private static final double NO_CHANCE = 0.5;

    private final UpstreamPool upstreams;
    private final PromptPlacement placement;
    private final PromptCacheHints caches;
    private final FleetBalancer balancer;
    private final Clock clock;

    /** Creates an explainer of an instance's decisions. */
    public PlacementExplainer(
            UpstreamPool upstreams,
            FailureDomainId domain,
            double loadFactor,
            PromptCacheHints caches,
            FleetBalancer balancer,
            Clock clock) {
        this.upstreams = upstreams;
        this.placement = new PromptPlacement(domain, loadFactor, () -> NO_CHANCE);
        this.caches = caches;
        this.balancer = balancer;
        this.clock = clock;
    }

    /** Explains where a request with a prompt would go at each service of its route. */
    public List<ServiceExplanation> explain(HostRoute route, PromptDescription prompt) {
        OptionalLong key = route.promptAffinity() ? prompt.sharedPrefixKey() : OptionalLong.empty();
        return route.weightedServices().stream()
                .map(weighted -> explain(weighted, key))
                .toList();
    }

    private ServiceExplanation explain(WeightedService weighted, OptionalLong key) {
        ServiceId service = weighted.service();
        long now = clock.millis();
        List<UpstreamState> states = upstreams.upstreams(service);
        PromptPlacement.Criteria criteria = criteria(service, key, Set.of());
        Optional<BalanceExplanation> balance = key.isPresent()
                ? Optional.empty()
                : balancer.explain(service, placement.candidatesWithEjected(states, criteria, now));
        Optional<PlacementDecision> first = choose(states, criteria, balance);
        Optional<PlacementDecision> retry = first.flatMap(decision -> placement.choose(
                states, criteria(service, key, Set.of(decision.upstream().id())), now));
        Map<UpstreamId, PromptPlacement.Exclusion> exclusions = placement.exclusions(states, criteria, now);
        List<ServiceExplanation.Candidate> candidates = states.stream()
                .map(state -> new ServiceExplanation.Candidate(state, Optional.ofNullable(exclusions.get(state.id()))))
                .toList();
        return new ServiceExplanation(service, weighted.weight(), first, retry, balance, candidates);
    }

    private Optional<PlacementDecision> choose(
            List<UpstreamState> states, PromptPlacement.Criteria criteria, Optional<BalanceExplanation> balance) {
        if (balance.isEmpty()) {
            return placement.choose(states, criteria, clock.millis());
        }
        Optional<UpstreamProcessId> assigned = balance.get().choice();
        return states.stream()
                .filter(state -> assigned.filter(UpstreamProcessId.of(state.entry())::equals)
                        .isPresent())
                .findFirst()
                .flatMap(state -> placement.choose(states, criteria.only(state, states), clock.millis()));
    }

    private PromptPlacement.Criteria criteria(ServiceId service, OptionalLong key, Set<UpstreamId> excluded) {
        return PromptPlacement.Criteria.of(
                key, upstreams.view(), service, caches, new HashSet<>(excluded), Optional.empty(), clock.millis());
    }
}
