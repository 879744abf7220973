package org.cuminspur.balance;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.cuminspur.pace.Pace;
import org.cuminspur.traffic.UpstreamProcessId;

/**
 * Assigns requests of any instance to the upstreams of a service where they are expected to be done first.
 *
 * <p>Not thread-safe. Answers a service with few upstreams before many instances, whose machines are shared with others: each
 * instance by itself knows next to nothing of the load, so that some upstreams turn requests away while others are idle, and
 * an upstream that is slow for half a second gets as much as the others. Holds the upstreams that were reported or assigned
 * last.
 */
final class LoadTable {
    private static final int MAX_UPSTREAMS = 4_096;

    /**
     * Cost of an upstream that has a slot for each request, for each part of its slots that is taken, in units of the work of a
     * request: what other requests on their way may do to it.
     */
    private static final double CROWDING_COST = 0.4;

    /** Cost of an upstream without a free slot: it may turn the request away, which costs another attempt. */
    private static final double FULL_COST = 4;

    /** Cost of another failure domain: a few round trips of milliseconds before work of some tens. */
    private static final double REMOTE_COST = 0.1;

    /**
     * Cost of a request that ends in an error: twice the longest time that its caller's aim allows, which is some five times its
     * work. A caller is served better late than with an error.
     */
    private static final double ERROR_COST = 10;

    /** Costs that differ by less are equal; chance then decides, so that no upstream is always the first. */
    private static final double CHANCE = 0.05;

    /** Time that a request takes where no response tells it. */
    private static final double USUAL_WORK_MS = 100;

    /** An upstream and its cost; immutable. */
    private record Choice(UpstreamProcessId upstream, double cost) {}

    private final DoubleSupplier random;
    private final Supplier<Pace> paces;
    private final Map<UpstreamProcessId, UpstreamLoad> loads = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<UpstreamProcessId, UpstreamLoad> eldest) {
            return size() > MAX_UPSTREAMS;
        }
    };

    /**
     * Creates an empty table.
     *
     * @param random uniform from 0 to 1
     * @param paces creates the pace of an upstream
     */
    LoadTable(DoubleSupplier random, Supplier<Pace> paces) {
        this.random = random;
        this.paces = paces;
    }

    /** Applies what an upstream said of itself. */
    void report(UpstreamProcessId upstream, UpstreamReport report, long madeMillis) {
        load(upstream).report(report, madeMillis);
    }

    private UpstreamLoad load(UpstreamProcessId upstream) {
        return loads.computeIfAbsent(upstream, absent -> new UpstreamLoad(paces.get()));
    }

    /** Assigns a request to one of some upstreams, empty if there are none. */
    Optional<UpstreamProcessId> assign(List<Candidate> candidates, long nowMillis) {
        return assign(candidates, candidates, nowMillis);
    }

    /**
     * Assigns a request to one of some upstreams, empty if there are none.
     *
     * @param peers all upstreams that could take it, also those without room
     */
    Optional<UpstreamProcessId> assign(List<Candidate> candidates, List<Candidate> peers, long nowMillis) {
        Optional<UpstreamProcessId> chosen = choose(candidates, nowMillis);
        chosen.ifPresent(upstream -> load(upstream).assign(peersMillis(upstream, peers), nowMillis));
        return chosen;
    }

    /** Returns where a request would go, empty if there are no candidates. */
    Optional<UpstreamProcessId> choose(List<Candidate> candidates, long nowMillis) {
        double mean = meanReportedLoad(candidates);
        return candidates.stream()
                .map(candidate -> new Choice(candidate.upstream(), cost(candidate, mean, nowMillis)))
                .min(Comparator.comparingDouble(Choice::cost))
                .map(Choice::upstream);
    }

    /** Returns what is known of an upstream. */
    BalanceExplanation.Figures figures(UpstreamProcessId upstream, long nowMillis) {
        UpstreamLoad load = load(upstream);
        return new BalanceExplanation.Figures(
                upstream,
                load.load(load.reportedLoad(), nowMillis),
                load.limit(nowMillis),
                load.hasRoom(nowMillis),
                load.slowness(nowMillis),
                load.errorShare(nowMillis));
    }

    /** Returns what requests take at the others, as far as these are not paced themselves, 0 if unknown. */
    private double peersMillis(UpstreamProcessId upstream, List<Candidate> candidates) {
        return candidates.stream()
                .map(Candidate::upstream)
                .filter(other -> !other.equals(upstream) && !load(other).isPaced())
                .flatMapToDouble(other -> load(other).usualWorkMillis().stream())
                .average()
                .orElse(0);
    }

    /** Returns the candidates without those that are ejected and do not answer other instances either, unless there are no others. */
    List<Candidate> usable(List<Candidate> candidates, long nowMillis) {
        List<Candidate> usable = candidates.stream()
                .filter(candidate ->
                        !candidate.ejected() || load(candidate.upstream()).answers(nowMillis))
                .toList();
        return usable.isEmpty() ? candidates : usable;
    }

    /** Records that an instance would send a request to some upstreams; those that were absent are paced. */
    void list(List<Candidate> candidates, long nowMillis) {
        boolean peersServe = candidates.stream()
                .anyMatch(candidate -> load(candidate.upstream()).isListed(nowMillis));
        candidates.forEach(candidate -> load(candidate.upstream()).list(peersServe, nowMillis));
    }

    /** Records that a request to an upstream failed, or could not be sent. */
    void recordFailure(UpstreamProcessId upstream, long nowMillis) {
        load(upstream).recordFailure(nowMillis);
    }

    /** Records that an upstream ran a request and answered with an error. */
    void recordError(UpstreamProcessId upstream, long nowMillis) {
        load(upstream).recordError(nowMillis);
    }

    /** Returns the upstreams that get fewer requests than they have slots for, as they have just started or recovered. */
    Set<UpstreamProcessId> paced(long nowMillis) {
        return loads.entrySet().stream()
                .filter(entry -> entry.getValue().isHeldBack(nowMillis))
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
    }

    private double meanReportedLoad(List<Candidate> candidates) {
        return candidates.stream()
                .mapToInt(candidate -> load(candidate.upstream()).reportedLoad())
                .average()
                .orElse(0);
    }

    /** Returns whether an upstream is expected to have a slot for another request by the time that it arrives. */
    boolean hasRoom(UpstreamProcessId upstream, long nowMillis) {
        return load(upstream).hasRoom(nowMillis);
    }

    /** Returns the requests that some upstreams run at a time. */
    int slots(List<Candidate> candidates) {
        return Math.max(
                1,
                candidates.stream()
                        .mapToInt(candidate -> load(candidate.upstream()).slots())
                        .sum());
    }

    /** Returns how long a request took at some upstreams lately. */
    double workMillis(List<Candidate> candidates) {
        return candidates.stream()
                .flatMapToDouble(candidate -> load(candidate.upstream()).workMillis().stream())
                .average()
                .orElse(USUAL_WORK_MS);
    }

    /** Returns the time until a request would be done there, in units of its usual work, and what may go wrong. */
    private double cost(Candidate candidate, double mean, long nowMillis) {
        UpstreamLoad load = load(candidate.upstream());
        double held = load.load(mean, nowMillis);
        double slots = load.limit(nowMillis);
        double work = Math.max(1, (held + 1) / slots) + CROWDING_COST * held / slots;
        return load.slowness(nowMillis) * work
                + (held + 1 > slots ? FULL_COST : 0)
                + ERROR_COST * load.errorShare(nowMillis)
                + (candidate.local() ? 0 : REMOTE_COST)
                + CHANCE * random.getAsDouble();
    }
}
