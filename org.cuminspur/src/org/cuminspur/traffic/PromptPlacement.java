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
    private static final double USED_FACTOR = 0.75;

    /** Load that every upstream may hold whatever the mean is, so that a quiet service keeps its caches. */
    private static final double LOAD_SLACK = 2.5;

    /** Requests in progress that a shorter way is worth; about a quarter of a small upstream's slots. */
    private static final double OTHER_DOMAIN_COST = 1.2;

    /** Silence that makes an upstream doubtful; far above a first token's usual time, far below a caller's patience. */
    private static final long SILENT_MS = 900;

    /** A failure rate this far above the mean of the service is no chance. */
    private static final double FAILURE_EXCESS = 0.3;

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
    public Optional<PlacementDecision> choose(List<UpstreamState> service, Criteria demand, long nowMillis) {
        List<UpstreamState> open = service.stream()
                .filter(state ->
                        state.acceptsNewWork() && !demand.triedUpstreams().contains(state.id()))
                .filter(state -> state.withinColdRateLimit(nowMillis))
                .toList();
        double meanFailures = open.stream()
                .mapToDouble(state -> state.health().failureRate())
                .average()
                .orElse(0);
        List<UpstreamState> sound = open.stream()
                .filter(state -> sound(state, meanFailures, nowMillis))
                .toList();
        List<UpstreamState> candidates = firstFilled(
                sound.stream().filter(state -> state.withinRateLimit(nowMillis)).toList(), sound, open);
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        Loads loads = new Loads(service, nowMillis);
        if (demand.sharedPrefixKey().isEmpty()) {
            return candidates.stream()
                    .min(Comparator.comparingDouble(state -> cost(state, loads)))
                    .map(state ->
                            new PlacementDecision(state, PlacementDecision.Reason.LEAST_LOADED, Optional.empty()));
        }
        UpstreamState chosen = byPrompt(candidates, demand, loads);
        UpstreamState first = first(service.stream().filter(UpstreamState::acceptsNewWork), demand);
        Optional<UpstreamState> source = source(service, chosen, demand, nowMillis);
        return Optional.of(new PlacementDecision(chosen, reason(first, chosen, meanFailures, nowMillis), source));
    }

    @SafeVarargs
    private static List<UpstreamState> firstFilled(List<UpstreamState>... levels) {
        return Stream.of(levels).filter(level -> !level.isEmpty()).findFirst().orElse(List.of());
    }

    private static boolean sound(UpstreamState state, double meanFailures, long nowMillis) {
        return state.health().admitsRequest(nowMillis)
                && state.unansweredMillis(nowMillis) < SILENT_MS
                && state.health().failureRate() < meanFailures + FAILURE_EXCESS;
    }

    /**
     * Returns the upstream that most likely keeps the prompt which the chosen one lacks, to copy it from there.
     *
     * <p>One that takes no new work may still hand on its cache, but one that does not answer would hold the request up.
     */
    private static Optional<UpstreamState> source(
            List<UpstreamState> service, UpstreamState chosen, Criteria demand, long nowMillis) {
        return Stream.of(demand.owner(), demand.previousOwner())
                .flatMap(Optional::stream)
                .filter(id -> !id.equals(chosen.id()))
                .flatMap(id -> service.stream().filter(state -> state.id().equals(id)))
                .filter(state ->
                        state.health().admitsRequest(nowMillis) && state.unansweredMillis(nowMillis) < SILENT_MS)
                .findFirst();
    }

    private static PlacementDecision.Reason reason(
            UpstreamState first, UpstreamState chosen, double meanFailures, long nowMillis) {
        if (first == chosen) {
            return PlacementDecision.Reason.PROMPT;
        } else if (!sound(first, meanFailures, nowMillis)) {
            return PlacementDecision.Reason.SPILL_UNSOUND;
        }
        return first.withinRateLimit(nowMillis)
                ? PlacementDecision.Reason.SPILL_LOAD
                : PlacementDecision.Reason.SPILL_RATE;
    }

    private UpstreamState byPrompt(List<UpstreamState> sound, Criteria demand, Loads loads) {
        double limit = Math.max(1, USED_FACTOR * loadFactor) * loads.mean() + LOAD_SLACK;
        UpstreamState within = first(sound.stream().filter(state -> loads.of(state) <= limit), demand);
        return within != null
                ? within
                : sound.stream().min(Comparator.comparingDouble(loads::of)).orElseThrow();
    }

    /** Returns the first in the prompt's order, or null if there is none. */
    private static UpstreamState first(Stream<UpstreamState> states, Criteria demand) {
        UpstreamId owner = demand.owner().orElse(null);
        long key = demand.sharedPrefixKey().getAsLong();
        return states.max(Comparator.<UpstreamState, Boolean>comparing(
                                state -> state.id().equals(owner))
                        .thenComparingDouble(state -> Rendezvous.score(key, state.hash(), 1)))
                .orElse(null);
    }

    private double cost(UpstreamState state, Loads loads) {
        boolean near = state.entry().domain().equals(domain);
        return loads.of(state) + (near ? 0 : OTHER_DOMAIN_COST) + random.getAsDouble() / 2;
    }

    /**
     * Estimates of the load that upstreams hold for all instances together; immutable.
     *
     * <p>The mean is over the whole service, those that take no new work included: they lower it for the others.
     */
    private static final class Loads {
        private final long nowMillis;
        private final double meanOthers;
        private final double mean;

        Loads(List<UpstreamState> states, long nowMillis) {
            this.nowMillis = nowMillis;
            double trust = states.stream()
                    .mapToDouble(state -> state.reportWeight(nowMillis))
                    .sum();
            double others = states.stream()
                    .mapToDouble(state -> state.reportWeight(nowMillis) * state.otherLoadAtReport())
                    .sum();
            meanOthers = trust > 0 ? others / trust : 0;
            mean = states.stream().mapToDouble(this::of).average().orElse(0);
        }

        /** An old report fades into the mean of the service. */
        double of(UpstreamState state) {
            double trust = state.reportWeight(nowMillis);
            return state.inFlight() + trust * state.otherLoadAtReport() + (1 - trust) * meanOthers;
        }

        double mean() {
            return mean;
        }
    }
}
