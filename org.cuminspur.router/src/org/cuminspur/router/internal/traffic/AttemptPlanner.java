package org.cuminspur.router.internal.traffic;

import io.undertow.client.ClientRequest;
import io.undertow.server.HttpServerExchange;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.cuminspur.id.AccountId;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.traffic.ClientAccount;
import org.cuminspur.traffic.ForwardMetadata;
import org.cuminspur.traffic.PlacementDecision;
import org.cuminspur.traffic.PromptPlacement;
import org.cuminspur.traffic.PromptTable;
import org.cuminspur.traffic.RequestMetadata;
import org.cuminspur.traffic.UpstreamState;

/** Says where the next attempt of one request goes, and what is sent there; used on the traffic thread. */
final class AttemptPlanner {
    private final TrafficContext traffic;
    private final RequestMetadata call;

    AttemptPlanner(TrafficContext traffic, RequestMetadata call) {
        this.traffic = traffic;
        this.call = call;
    }

    /** Returns the upstream for the next attempt, empty if none may take it now. */
    Optional<PlacementDecision> choose(RoutedCall routed, Set<UpstreamId> tried, long now) {
        OptionalLong key = routed.route().promptAffinity() ? call.prompt().sharedPrefixKey() : OptionalLong.empty();
        Optional<PromptTable> table = Optional.ofNullable(
                        traffic.board().view().promptTables().get(routed.service()))
                .filter(known -> key.isPresent());
        PromptPlacement.Criteria demand = new PromptPlacement.Criteria(
                key,
                table.map(known -> known.owner(key.getAsLong())),
                table.map(known -> known.previousOwner(key.getAsLong())),
                tried);
        return traffic.placement().choose(traffic.board().upstreams(routed.service()), demand, now);
    }

    /**
     * Returns the request for an upstream.
     *
     * @param passedOn the last event that the caller has got, if its stream is to go on
     */
    ClientRequest request(
            HttpServerExchange exchange,
            int bodyBytes,
            RoutedCall routed,
            PlacementDecision choice,
            OptionalLong passedOn,
            long now) {
        Optional<String> after =
                passedOn.isPresent() ? Optional.of(Long.toString(passedOn.getAsLong())) : call.lastEventId();
        Optional<AccountId> account = routed.account().map(ClientAccount::id);
        long left = Math.max(1, routed.deadlineMillis() - now);
        ForwardMetadata head = new ForwardMetadata(
                left,
                choice.upstream().id(),
                account,
                routed.urgency(),
                after,
                choice.cacheSource().map(UpstreamState::entry));
        return UpstreamRequests.of(exchange, bodyBytes, traffic.headerCodec(), call, head);
    }
}
