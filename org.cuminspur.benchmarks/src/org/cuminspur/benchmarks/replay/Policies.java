package org.cuminspur.benchmarks.replay;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.Collectors;
import org.cuminspur.benchmarks.trace.Trace.Request;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.internal.hash.Rendezvous;
import org.cuminspur.routing.Placement;
import org.cuminspur.routing.UpstreamSet;
import org.cuminspur.routing.UpstreamTracker;
import org.cuminspur.routing.UpstreamView;

/** The policies that a replay compares; stateless. */
final class Policies {
    /** Name of the policy that knows every cache and every load. */
    static final String ALL_KNOWING = "all-knowing";
    /** Name of the policy that cuminspurd runs. */
    static final String PLACEMENT = "placement";

    private static final double BOUND = 1.25;

    private Policies() {}

    /** Returns the names of all policies. */
    static List<String> names() {
        return List.of(ALL_KNOWING, "random", "round-robin", "least-load", "rendezvous", "two-choices", PLACEMENT);
    }

    /** Returns one router's policy. */
    static ReplayPolicy named(String name, long seed, Map<String, ReplayEngine> engines) {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        return switch (name) {
            case "random" -> (set, request, excluded) -> best(set, excluded, view -> random.nextDouble());
            case "round-robin" -> roundRobin(random.nextInt(1_000));
            case "least-load" ->
                (set, request, excluded) -> best(set, excluded, view -> -reported(view) - random.nextDouble() / 2);
            case "rendezvous" -> (set, request, excluded) -> best(set, excluded, view -> preference(request, view));
            case "two-choices" -> Policies::twoChoices;
            case ALL_KNOWING -> (set, request, excluded) -> allKnowing(set, request, excluded, engines);
            default -> (set, request, excluded) -> Placement.place(set, request.chat(), excluded);
        };
    }

    private static Optional<UpstreamView> best(
            UpstreamSet set, Set<UpstreamId> excluded, ToDoubleFunction<UpstreamView> score) {
        Map<UpstreamView, Double> scores = set.views()
                .filter(view -> !excluded.contains(view.id()))
                .collect(Collectors.toMap(Function.identity(), score::applyAsDouble));
        return started(
                scores.entrySet().stream().max(Map.Entry.comparingByValue()).map(Map.Entry::getKey));
    }

    private static ReplayPolicy roundRobin(int first) {
        int[] next = {first};
        return (set, request, excluded) -> {
            for (int i = 0; i < set.size(); i++) {
                UpstreamView view = set.view(Math.floorMod(next[0]++, set.size()));
                if (!excluded.contains(view.id())) {
                    return started(Optional.of(view));
                }
            }
            return Optional.empty();
        };
    }

    private static Optional<UpstreamView> twoChoices(UpstreamSet set, Request request, Set<UpstreamId> excluded) {
        return started(set.views()
                .filter(view -> !excluded.contains(view.id()))
                .sorted(Comparator.comparingDouble(view -> -preference(request, view)))
                .limit(2)
                .min(Comparator.comparingDouble(Policies::reported)));
    }

    private static Optional<UpstreamView> allKnowing(
            UpstreamSet set, Request request, Set<UpstreamId> excluded, Map<String, ReplayEngine> engines) {
        int total = set.views()
                .mapToInt(view -> engines.get(view.id().value()).inProgress())
                .sum();
        int most = (int) Math.ceil(BOUND * (total + 1) / set.size());
        Comparator<UpstreamView> order = Comparator.<UpstreamView>comparingInt(
                        view -> engines.get(view.id().value()).cached(request.chat(), request.promptTokens()))
                .thenComparingInt(view -> -engines.get(view.id().value()).inProgress());
        return started(set.views()
                .filter(view -> !excluded.contains(view.id()))
                .filter(view -> engines.get(view.id().value()).inProgress() < most)
                .max(order));
    }

    private static Optional<UpstreamView> started(Optional<UpstreamView> chosen) {
        return chosen.filter(view -> view.tracker().tryStart(Integer.MAX_VALUE));
    }

    private static double preference(Request request, UpstreamView view) {
        return Rendezvous.score(request.chat(), Rendezvous.hash(view.id().value()), 1);
    }

    private static double reported(UpstreamView view) {
        UpstreamTracker.ReceivedReport reported = view.tracker().latestReport();
        return reported == null ? 0 : reported.report().inProgress();
    }
}
