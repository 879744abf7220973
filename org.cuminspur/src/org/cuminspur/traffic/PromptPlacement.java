package org.cuminspur.traffic;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.ServiceId;
import org.cuminspur.id.SoftwareVersion;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.internal.hash.Rendezvous;

/**
 * Chooses the upstream for a request.
 *
 * <p>Not thread-safe; confined to the traffic thread. On every instance, requests with the same shared prompt go to the
 * upstream that owns it until that exceeds its load limit, then to the next one in the prompt's rendezvous order, which
 * is also the same on every instance. Other requests go to the least loaded upstream, preferring the instance's own
 * failure domain. A cold upstream never gets more than its rate share, even if no other is available. A request that is
 * bound to a software version goes to no other, and to none over the load bound: the few upstreams that an old version
 * has left would otherwise take all of its streams.
 */
public final class PromptPlacement {
    /** Share of the load bound that placement uses, since load reports are a second old. */
    private static final double USED_LOAD_FACTOR_SHARE = 0.75;

    /** Load that every upstream may have whatever the mean is, so that an idle service keeps using its caches. */
    private static final double LOAD_SLACK = 2.5;

    /** Cost of another failure domain in requests in progress; about a quarter of a small upstream's slots. */
    private static final double REMOTE_DOMAIN_COST = 1.2;

    /** Maximum wait for a first byte: far above the usual time to the first token, far below callers' time-outs. */
    private static final long UNRESPONSIVE_MS = 900;

    /** A failure rate this far above the service's mean is not due to chance. */
    private static final double MAX_EXCESS_FAILURE_RATE = 0.3;

    /**
     * Input to the choice of an upstream; immutable.
     *
     * @param sharedPrefixKey key of the prompt's shared parts, if it has any
     * @param owner the upstream that owns the prompt, if any
     * @param previousOwner the upstream that owned it before, if known
     * @param lastServer the upstream that served the prompt last, if known
     * @param triedUpstreams upstreams that the request was already sent to
     * @param version the only software version that may take the request, if its stream is bound to one
     */
    public record Criteria(
            OptionalLong sharedPrefixKey,
            Optional<UpstreamId> owner,
            Optional<UpstreamId> previousOwner,
            Optional<UpstreamId> lastServer,
            Set<UpstreamId> triedUpstreams,
            Optional<SoftwareVersion> version) {
        /** Creates criteria for a prompt of which no server is known. */
        public Criteria(
                OptionalLong sharedPrefixKey,
                Optional<UpstreamId> owner,
                Optional<UpstreamId> previousOwner,
                Set<UpstreamId> triedUpstreams,
                Optional<SoftwareVersion> version) {
            this(sharedPrefixKey, owner, previousOwner, Optional.empty(), triedUpstreams, version);
        }

        /** Creates criteria for a request that any version may take. */
        public Criteria(
                OptionalLong sharedPrefixKey,
                Optional<UpstreamId> owner,
                Optional<UpstreamId> previousOwner,
                Set<UpstreamId> triedUpstreams) {
            this(sharedPrefixKey, owner, previousOwner, triedUpstreams, Optional.empty());
        }

        /**
         * Returns the criteria of a request.
         *
         * @param key key of the prompt's shared parts, if it has any and its route places by them
         * @param excluded upstreams that it must not go to
         */
        public static Criteria of(
                OptionalLong key,
                FleetView view,
                ServiceId service,
                PromptCacheHints caches,
                Set<UpstreamId> excluded,
                Optional<SoftwareVersion> version,
                long nowMillis) {
            Optional<PromptTable> table =
                    Optional.ofNullable(view.promptTables().get(service)).filter(known -> key.isPresent());
            return new Criteria(
                    key,
                    table.map(known -> known.owner(key.getAsLong())),
                    table.map(known -> known.previousOwner(key.getAsLong())),
                    key.isPresent() ? caches.find(key.getAsLong(), nowMillis) : Optional.empty(),
                    excluded,
                    version);
        }

        /** Returns these criteria for one upstream alone. */
        public Criteria only(UpstreamState upstream, List<UpstreamState> service) {
            Set<UpstreamId> others = service.stream()
                    .map(UpstreamState::id)
                    .filter(id -> !id.equals(upstream.id()))
                    .collect(Collectors.toSet());
            return new Criteria(sharedPrefixKey, owner, previousOwner, lastServer, others, version);
        }

        private boolean allows(UpstreamState state) {
            return !triedUpstreams.contains(state.id())
                    && version.map(state.entry().version()::equals).orElseGet(state::acceptsUnboundWork);
        }
    }

    /** Why an upstream is not considered for a request. */
    public enum Exclusion {
        /** It or its failure domain is drained, it leaves, or its version is retired by a roll-out. */
        NO_NEW_WORK,
        /** It is cold and has had its share of requests for this second. */
        COLD_RATE,
        /** Its version takes only requests that are bound to it, or the request was sent to it before. */
        NOT_FOR_THIS_REQUEST,
        /** Its limit or a pause that it asked for allows no request now. */
        LEFT_OUT,
        /** Requests to it failed; it gets one now and then. */
        EJECTED,
        /** It does not answer, or fails more often than the others. */
        UNSOUND,
        /** It has had this instance's share of requests for this second. */
        RATE
    }

    private final FailureDomainId domain;
    private final double loadFactor;
    private final DoubleSupplier random;

    /**
     * Creates a placement.
     *
     * @param domain this instance's failure domain
     * @param loadFactor multiple of the mean load that no upstream should exceed
     * @param random uniform from 0 to 1, to choose among nearly equal loads
     */
    public PromptPlacement(FailureDomainId domain, double loadFactor, DoubleSupplier random) {
        this.domain = domain;
        this.loadFactor = loadFactor;
        this.random = random;
    }

    /** Returns the upstreams that may take a request now, unsound ones only if there are no others. */
    public List<UpstreamState> candidates(List<UpstreamState> service, Criteria criteria, long nowMillis) {
        List<UpstreamState> available = available(service, criteria, nowMillis);
        return sound(available, meanFailureRate(available), nowMillis);
    }

    /** Returns why upstreams are not among those that {@link #choose} considers first, without those that are. */
    public Map<UpstreamId, Exclusion> exclusions(List<UpstreamState> service, Criteria criteria, long nowMillis) {
        double meanFailureRate = meanFailureRate(available(service, criteria, nowMillis));
        Map<UpstreamId, Exclusion> exclusions = new HashMap<>();
        service.forEach(state -> exclusion(state, criteria, meanFailureRate, nowMillis)
                .ifPresent(reason -> exclusions.put(state.id(), reason)));
        return exclusions;
    }

    private static Optional<Exclusion> exclusion(
            UpstreamState state, Criteria criteria, double meanFailureRate, long nowMillis) {
        if (!state.acceptsNewWork()) {
            return Optional.of(Exclusion.NO_NEW_WORK);
        } else if (!state.mayTakeRequest(nowMillis)) {
            return Optional.of(Exclusion.COLD_RATE);
        } else if (!criteria.allows(state)) {
            return Optional.of(Exclusion.NOT_FOR_THIS_REQUEST);
        } else if (state.leftOutMillis(nowMillis) > 0) {
            return Optional.of(Exclusion.LEFT_OUT);
        } else if (!state.health().admitsRequest(nowMillis)) {
            return Optional.of(Exclusion.EJECTED);
        } else if (!responsive(state, meanFailureRate, nowMillis)) {
            return Optional.of(Exclusion.UNSOUND);
        }
        return state.withinRateLimit(nowMillis) ? Optional.empty() : Optional.of(Exclusion.RATE);
    }

    /**
     * Returns the upstreams that may take a request now if another instance has heard from those that are ejected here,
     * unsound ones only if there are no others.
     */
    public List<UpstreamState> candidatesWithEjected(List<UpstreamState> service, Criteria criteria, long nowMillis) {
        List<UpstreamState> available = available(service, criteria, nowMillis);
        double meanFailureRate = meanFailureRate(available);
        List<UpstreamState> responsive = available.stream()
                .filter(state -> responsive(state, meanFailureRate, nowMillis) && state.withinRateLimit(nowMillis))
                .toList();
        return firstNonEmpty(responsive, sound(available, meanFailureRate, nowMillis));
    }

    private static List<UpstreamState> available(List<UpstreamState> service, Criteria criteria, long nowMillis) {
        return service.stream()
                .filter(state -> state.mayTakeRequest(nowMillis) && criteria.allows(state))
                .filter(state -> state.leftOutMillis(nowMillis) == 0)
                .toList();
    }

    private static double meanFailureRate(List<UpstreamState> available) {
        return available.stream()
                .mapToDouble(state -> state.health().failureRate())
                .average()
                .orElse(0);
    }

    private static List<UpstreamState> sound(List<UpstreamState> available, double meanFailureRate, long nowMillis) {
        List<UpstreamState> healthy = available.stream()
                .filter(state -> healthy(state, meanFailureRate, nowMillis))
                .toList();
        return firstNonEmpty(
                healthy.stream()
                        .filter(state -> state.withinRateLimit(nowMillis))
                        .toList(),
                healthy,
                available);
    }

    /** Returns the upstream to send a request to, empty if none may accept it now. */
    public Optional<PlacementDecision> choose(List<UpstreamState> service, Criteria criteria, long nowMillis) {
        List<UpstreamState> available = available(service, criteria, nowMillis);
        double meanFailureRate = meanFailureRate(available);
        List<UpstreamState> candidates = sound(available, meanFailureRate, nowMillis);
        LoadEstimates loads = new LoadEstimates(service, nowMillis);
        if (criteria.version().isPresent()) {
            candidates = boundCandidates(candidates, loads, nowMillis);
        }
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        if (criteria.sharedPrefixKey().isEmpty()) {
            return candidates.stream()
                    .min(Comparator.comparingDouble(state -> cost(state, loads)))
                    .map(state -> new PlacementDecision(
                            state,
                            PlacementDecision.Reason.LEAST_LOADED,
                            Optional.empty(),
                            estimate(state, loads, nowMillis)));
        }
        UpstreamState chosen = chooseByPrompt(candidates, criteria, loads);
        UpstreamState preferred = firstInPromptOrder(service.stream().filter(UpstreamState::acceptsNewWork), criteria);
        Optional<UpstreamState> cacheSource = findCacheSource(service, chosen, criteria, nowMillis);
        return Optional.of(new PlacementDecision(
                chosen,
                reason(preferred, chosen, meanFailureRate, nowMillis),
                cacheSource,
                estimate(chosen, loads, nowMillis)));
    }

    /** Returns the load above which an upstream of a service gets no requests with shared prompts. */
    public double loadLimit(List<UpstreamState> service, long nowMillis) {
        return limit(new LoadEstimates(service, nowMillis));
    }

    /** Returns the candidates for a request that is bound to their software version. */
    private List<UpstreamState> boundCandidates(List<UpstreamState> candidates, LoadEstimates loads, long nowMillis) {
        List<UpstreamState> withinBound = candidates.stream()
                .filter(state -> loads.of(state) < bound(loads))
                .toList();
        return firstNonEmpty(
                withinBound.stream()
                        .filter(state -> !state.mayHaveRestarted(nowMillis))
                        .toList(),
                withinBound);
    }

    @SafeVarargs
    private static List<UpstreamState> firstNonEmpty(List<UpstreamState>... levels) {
        return Stream.of(levels).filter(level -> !level.isEmpty()).findFirst().orElse(List.of());
    }

    private static boolean healthy(UpstreamState state, double meanFailureRate, long nowMillis) {
        return state.health().admitsRequest(nowMillis) && responsive(state, meanFailureRate, nowMillis);
    }

    private static boolean responsive(UpstreamState state, double meanFailureRate, long nowMillis) {
        return state.unansweredMillis(nowMillis) < UNRESPONSIVE_MS
                && state.health().failureRate() < meanFailureRate + MAX_EXCESS_FAILURE_RATE;
    }

    /**
     * Returns the upstream that most likely has the prompt cached, for the chosen one to copy from, if it is another.
     *
     * <p>An owner may not have it, if its first request went elsewhere or the owner is new. A draining upstream can still serve its cache, but an unresponsive one would delay the request. What another
     * software version cached is not used.
     */
    private static Optional<UpstreamState> findCacheSource(
            List<UpstreamState> service, UpstreamState chosen, Criteria criteria, long nowMillis) {
        return Stream.of(criteria.lastServer(), criteria.owner(), criteria.previousOwner())
                .flatMap(Optional::stream)
                .filter(id -> !id.equals(chosen.id()))
                .flatMap(id -> service.stream().filter(state -> state.id().equals(id)))
                .filter(state -> state.entry().version().equals(chosen.entry().version()))
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
        return preferred.withinRateLimit(nowMillis) && preferred.leftOutMillis(nowMillis) == 0
                ? PlacementDecision.Reason.SPILL_LOAD
                : PlacementDecision.Reason.SPILL_RATE;
    }

    /** Returns the load that no upstream should exceed. */
    private double bound(LoadEstimates loads) {
        return loadFactor * loads.mean() + LOAD_SLACK;
    }

    private double limit(LoadEstimates loads) {
        return Math.max(1, USED_LOAD_FACTOR_SHARE * loadFactor) * loads.mean() + LOAD_SLACK;
    }

    private PlacementDecision.LoadEstimate estimate(UpstreamState chosen, LoadEstimates loads, long nowMillis) {
        return new PlacementDecision.LoadEstimate(
                loads.of(chosen), loads.mean(), limit(loads), chosen.reportAgeMillis(nowMillis));
    }

    private UpstreamState chooseByPrompt(List<UpstreamState> candidates, Criteria criteria, LoadEstimates loads) {
        double limit = limit(loads);
        UpstreamState preferred =
                firstInPromptOrder(candidates.stream().filter(state -> loads.of(state) <= limit), criteria);
        return preferred != null
                ? preferred
                : candidates.stream().min(Comparator.comparingDouble(loads::of)).orElseThrow();
    }

    /** Returns the first in the prompt's order, its owner before the rendezvous order, or null if there is none. */
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
     * Estimates the load of upstreams from all instances together; immutable.
     *
     * <p>An upstream without a recent report is expected to have load in proportion to its expected share. The mean includes
     * upstreams that accept no new work, which lowers the load limit of the others. It is taken from reports to this
     * instance alone, since notices tell only of the most loaded upstreams.
     */
    private static final class LoadEstimates {
        private final long nowMillis;
        private final double loadPerShare;
        private final double mean;

        LoadEstimates(List<UpstreamState> states, long nowMillis) {
            this.nowMillis = nowMillis;
            List<UpstreamState> expected =
                    states.stream().filter(state -> state.expectedShare() > 0).toList();
            double weightedShare = expected.stream()
                    .mapToDouble(state -> state.reportWeight(nowMillis) * state.expectedShare())
                    .sum();
            double weightedOtherLoad = expected.stream()
                    .mapToDouble(state -> state.reportWeight(nowMillis) * state.otherLoadAtReport())
                    .sum();
            loadPerShare = weightedShare > 0 ? weightedOtherLoad / weightedShare : 0;
            mean = states.stream()
                    .mapToDouble(state -> state.inFlight() + state.reportedOtherLoad(loadPerShare, nowMillis))
                    .average()
                    .orElse(0);
        }

        /** Returns an upstream's load. */
        double of(UpstreamState state) {
            return state.inFlight() + state.otherLoad(loadPerShare, nowMillis);
        }

        double mean() {
            return mean;
        }
    }
}
