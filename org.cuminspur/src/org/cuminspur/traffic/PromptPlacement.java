package org.cuminspur.traffic;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.stream.Stream;
import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.internal.hash.Rendezvous;

/**
 * Chooses the upstream for a request.
 *
 * <p>Not thread-safe; used on the traffic thread. Requests with the same shared prompt go to the same upstream on every
 * instance, the one that owns it, until that holds more than its part of the load; then to the next one in the
 * rendezvous order of the prompt, which is again the same everywhere. Other requests go to the least loaded, the own
 * failure domain first. A cold upstream never gets more than its rate, whatever else is left.
 */
public final class PromptPlacement {
    /** Part of the bound on load that placement uses; reports are a second old. */
    private static final double USED_LOAD_FACTOR_SHARE = 0.75;

    /** Load that every upstream may hold whatever the mean is, so that a quiet service keeps its caches. */
    private static final double LOAD_SLACK = 2.5;

    /** Requests in progress that a shorter way is worth; about a quarter of a small upstream's slots. */
    private static final double REMOTE_DOMAIN_COST = 1.2;

    /** Silence that makes an upstream doubtful; far above a first token's usual time, far below a caller's patience. */
    private static final long UNRESPONSIVE_MS = 900;

    /** A failure rate this far above the mean of the service is no chance. */
    private static final double MAX_EXCESS_FAILURE_RATE = 0.3;

    /**
     * What placement needs to know of a request; immutable.
     *
     * @param sharedPrefixKey key of the prompt's shared parts, if it has any
     * @param owner the upstream that keeps the prompt, if one does
     * @param previousOwner the upstream that kept it before, if it is known
     * @param triedUpstreams upstreams that it was sent to already
     */
    public record Criteria(
            OptionalLong sharedPrefixKey,
            Optional<UpstreamId> owner,
            Optional<UpstreamId> previousOwner,
            Set<UpstreamId> triedUpstreams) {}

    private final FailureDomainId domain;
    private final double loadFactor;
    private final DoubleSupplier random;

    /**
     * Makes a placement.
     *
     * @param domain this instance's failure domain
     * @param loadFactor multiple of the mean load that no upstream is to exceed
     * @param random uniform from 0 to 1, breaks ties
     */
    public PromptPlacement(FailureDomainId domain, double loadFactor, DoubleSupplier random) {
        this.domain = domain;
        this.loadFactor = loadFactor;
        this.random = random;
    }

    /** Returns the upstream to send a request to, empty if none may take it now. */
    public Optional<PlacementDecision> choose(List<UpstreamState> service, Criteria criteria, long nowMillis) {
        List<UpstreamState> available = service.stream()
                .filter(state ->
                        state.acceptsNewWork() && !criteria.triedUpstreams().contains(state.id()))
                .filter(state -> state.withinColdRateLimit(nowMillis))
                .toList();
        double meanFailureRate = available.stream()
                .mapToDouble(state -> state.health().failureRate())
                .average()
                .orElse(0);
        List<UpstreamState> healthy = available.stream()
                .filter(state -> healthy(state, meanFailureRate, nowMillis))
                .toList();
        List<UpstreamState> candidates = firstNonEmpty(
                healthy.stream().filter(state -> state.withinRateLimit(nowMillis)).toList(), healthy, available);
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        LoadEstimates loads = new LoadEstimates(service, nowMillis);
        if (criteria.sharedPrefixKey().isEmpty()) {
            return candidates.stream()
                    .min(Comparator.comparingDouble(state -> cost(state, loads)))
                    .map(state ->
                            new PlacementDecision(state, PlacementDecision.Reason.LEAST_LOADED, Optional.empty()));
        }
        UpstreamState chosen = chooseByPrompt(candidates, criteria, loads);
        UpstreamState preferred = firstInPromptOrder(service.stream().filter(UpstreamState::acceptsNewWork), criteria);
        Optional<UpstreamState> cacheSource = findCacheSource(service, chosen, criteria, nowMillis);
        return Optional.of(new PlacementDecision(chosen, reason(preferred, chosen, meanFailureRate, nowMillis), cacheSource));
    }

    @SafeVarargs
    private static List<UpstreamState> firstNonEmpty(List<UpstreamState>... lists) {
        return Stream.of(lists).filter(list -> !list.isEmpty()).findFirst().orElse(List.of());
    }

    private static boolean healthy(UpstreamState state, double meanFailureRate, long nowMillis) {
        return state.health().admitsRequest(nowMillis)
                && state.unansweredMillis(nowMillis) < UNRESPONSIVE_MS
                && state.health().failureRate() < meanFailureRate + MAX_EXCESS_FAILURE_RATE;
    }

    /**
     * Returns the upstream that most likely keeps the prompt which the chosen one lacks, to copy it from there.
     *
     * <p>One that takes no new work may still hand on its cache, but one that does not answer would hold the request up.
     */
    private static Optional<UpstreamState> findCacheSource(
            List<UpstreamState> service, UpstreamState chosen, Criteria criteria, long nowMillis) {
        return Stream.of(criteria.owner(), criteria.previousOwner())
                .flatMap(Optional::stream)
                .filter(id -> !id.equals(chosen.id()))
                .flatMap(id -> service.stream().filter(state -> state.id().equals(id)))
                .filter(state ->
                        state.health().admitsRequest(nowMillis) && state.unansweredMillis(nowMillis) < UNRESPONSIVE_MS)
                .findFirst();
    }

    private static PlacementDecision.Reason reason(
            UpstreamState preferred, UpstreamState chosen, double meanFailureRate, long nowMillis) {
        if (preferred == chosen) {
            return PlacementDecision.Reason.PROMPT;
        } else if (!healthy(preferred, meanFailureRate, nowMillis)) {
            return PlacementDecision.Reason.SPILL_UNSOUND;
        }
        return preferred.withinRateLimit(nowMillis)
                ? PlacementDecision.Reason.SPILL_LOAD
                : PlacementDecision.Reason.SPILL_RATE;
    }

    private UpstreamState chooseByPrompt(List<UpstreamState> candidates, Criteria criteria, LoadEstimates loads) {
        double limit = Math.max(1, USED_LOAD_FACTOR_SHARE * loadFactor) * loads.mean() + LOAD_SLACK;
        UpstreamState preferred = firstInPromptOrder(candidates.stream().filter(state -> loads.of(state) <= limit), criteria);
        return preferred != null
                ? preferred
                : candidates.stream().min(Comparator.comparingDouble(loads::of)).orElseThrow();
    }

    /** Returns the first in the prompt's order, or null if there is none. */
    private static UpstreamState firstInPromptOrder(Stream<UpstreamState> states, Criteria criteria) {
        UpstreamId owner = criteria.owner().orElse(null);
        long key = criteria.sharedPrefixKey().getAsLong();
        return states.max(Comparator.<UpstreamState, Boolean>comparing(
                                state -> state.id().equals(owner))
                        .thenComparingDouble(state -> Rendezvous.score(key, state.hash(), 1)))
                .orElse(null);
    }

    private double cost(UpstreamState state, LoadEstimates loads) {
        boolean local = state.entry().domain().equals(domain);
        return loads.of(state) + (local ? 0 : REMOTE_DOMAIN_COST) + random.getAsDouble() / 2;
    }

    /**
     * Estimates of the load that upstreams hold for all instances together; immutable.
     *
     * <p>The mean is over the whole service, those that take no new work included: they lower it for the others.
     */
    private static final class LoadEstimates {
        private final long nowMillis;
        private final double meanOtherLoad;
        private final double mean;

        LoadEstimates(List<UpstreamState> states, long nowMillis) {
            this.nowMillis = nowMillis;
            double totalWeight = states.stream()
                    .mapToDouble(state -> state.reportWeight(nowMillis))
                    .sum();
            double weightedOtherLoad = states.stream()
                    .mapToDouble(state -> state.reportWeight(nowMillis) * state.otherLoadAtReport())
                    .sum();
            meanOtherLoad = totalWeight > 0 ? weightedOtherLoad / totalWeight : 0;
            mean = states.stream().mapToDouble(this::of).average().orElse(0);
        }

        /** An old report fades into the mean of the service. */
        double of(UpstreamState state) {
            double weight = state.reportWeight(nowMillis);
            return state.inFlight() + weight * state.otherLoadAtReport() + (1 - weight) * meanOtherLoad;
        }

        double mean() {
            return mean;
        }
    }
}
