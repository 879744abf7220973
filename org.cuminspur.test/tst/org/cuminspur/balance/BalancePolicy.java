package org.cuminspur.balance;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.cuminspur.traffic.UpstreamState;

/** How an instance chooses among the upstreams that may take a request. */
@FunctionalInterface
interface BalancePolicy {
    void choose(
            SimulatedBalanceInstance instance,
            SimulatedRequest request,
            Supplier<List<UpstreamState>> candidates,
            Consumer<BalanceDecision> result);

    /** Naive: the least loaded upstream by the instance's own reports, whatever their age. */
    BalancePolicy OWN_REPORTS =
            (instance, request, candidates, result) -> result.accept(decision(instance.leastLoaded(candidates.get())));

    /** The policy of the product. */
    BalancePolicy FLEET = (instance, request, candidates, result) -> {
        if (instance.balancer().balances(SimulatedBalance.SERVICE, candidates.get())) {
            instance.balancer()
                    .choose(SimulatedBalance.SERVICE, request.terms(instance.now()), candidates, decision -> {
                        if (decision instanceof BalanceDecision.Undecided) {
                            OWN_REPORTS.choose(instance, request, candidates, result);
                        } else {
                            result.accept(decision);
                        }
                    });
        } else {
            OWN_REPORTS.choose(instance, request, candidates, result);
        }
    };

    /** Naive: an upstream of the own failure domain, always. */
    BalancePolicy LOCAL_DOMAIN =
            (instance, request, candidates, result) -> result.accept(decision(candidates.get().stream()
                    .filter(upstream -> upstream.entry().domain().equals(instance.domain()))
                    .findFirst()
                    .or(() -> instance.leastLoaded(candidates.get()))));

    /** Naive: the best upstream by what all instances know, without delay, but nothing waits. */
    BalancePolicy NOTHING_WAITS =
            (instance, request, candidates, result) -> result.accept(decision(instance.bestKnown(candidates.get())));

    private static BalanceDecision decision(Optional<UpstreamState> upstream) {
        return upstream.<BalanceDecision>map(BalanceDecision.Assigned::new).orElseGet(BalanceDecision.Undecided::new);
    }
}
