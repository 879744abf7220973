package org.cuminspur.explain;

import java.util.List;
import java.util.Optional;
import org.cuminspur.balance.BalanceExplanation;
import org.cuminspur.id.ServiceId;
import org.cuminspur.traffic.PlacementDecision;
import org.cuminspur.traffic.PromptPlacement;
import org.cuminspur.traffic.UpstreamState;

/**
 * Where a request would go at one of its route's services; immutable but for the upstreams' states.
 *
 * @param first the first choice, empty if no upstream may take the request or another instance assigns it
 * @param retry the choice if the first one fails before it has run the request
 * @param balance who assigns the request, if it is balanced over the fleet
 */
public record ServiceExplanation(
        ServiceId service,
        int weight,
        Optional<PlacementDecision> first,
        Optional<PlacementDecision> retry,
        Optional<BalanceExplanation> balance,
        List<Candidate> candidates) {
    public ServiceExplanation {
        candidates = List.copyOf(candidates);
    }

    /** An upstream of the service, and why it is not considered, if it is not. */
    public record Candidate(UpstreamState upstream, Optional<PromptPlacement.Exclusion> exclusion) {}
}
