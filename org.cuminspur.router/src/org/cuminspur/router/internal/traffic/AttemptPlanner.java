package org.cuminspur.router.internal.traffic;

import io.undertow.client.ClientRequest;
import io.undertow.server.HttpServerExchange;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.cuminspur.id.AccountId;
import org.cuminspur.id.SoftwareVersion;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.quarantine.TrialUpstreams;
import org.cuminspur.traffic.ClientAccount;
import org.cuminspur.traffic.ForwardMetadata;
import org.cuminspur.traffic.PlacementDecision;
import org.cuminspur.traffic.PromptPlacement;
import org.cuminspur.traffic.PromptTable;
import org.cuminspur.traffic.RequestMetadata;
import org.cuminspur.traffic.UpstreamState;

/** Chooses the upstream of a request's next attempt and builds the request to it; used on the traffic thread. */
final class AttemptPlanner {
    private final TrafficContext context;
    private final RequestMetadata call;

    AttemptPlanner(TrafficContext context, RequestMetadata call) {
        this.context = context;
        this.call = call;
    }

    /**
     * Returns the upstream for the next attempt, empty if none can take it now.
     *
     * @param trial whether it is a trial of a quarantined part
     * @param version the only software version that may take it, if its stream is bound to one
     */
    Optional<PlacementDecision> choose(
            RoutedCall routed, Set<UpstreamId> tried, boolean trial, Optional<SoftwareVersion> version, long now) {
        List<UpstreamState> upstreams = context.upstreams().upstreams(routed.service());
        Set<UpstreamId> excluded = new HashSet<>(trial ? TrialUpstreams.unsuited(upstreams) : Set.of());
        excluded.addAll(tried);
        OptionalLong key = routed.route().promptAffinity() ? call.prompt().sharedPrefixKey() : OptionalLong.empty();
        Optional<PromptTable> table = Optional.ofNullable(
                        context.upstreams().view().promptTables().get(routed.service()))
                .filter(known -> key.isPresent());
        PromptPlacement.Criteria criteria = new PromptPlacement.Criteria(
                key,
                table.map(known -> known.owner(key.getAsLong())),
                table.map(known -> known.previousOwner(key.getAsLong())),
                excluded,
                version);
        return context.placement().choose(upstreams, criteria, now);
    }

    /**
     * Returns the request for an upstream.
     *
     * @param lastDelivered id of the last event that the caller received, if its stream is to be resumed
     */
    ClientRequest request(
            HttpServerExchange exchange,
            int bodyBytes,
            RoutedCall routed,
            PlacementDecision decision,
            OptionalLong lastDelivered,
            long now) {
        Optional<String> after =
                lastDelivered.isPresent() ? Optional.of(Long.toString(lastDelivered.getAsLong())) : call.lastEventId();
        Optional<AccountId> account = routed.account().map(ClientAccount::id);
        long remainingMillis = Math.max(1, routed.deadlineMillis() - now);
        ForwardMetadata metadata = new ForwardMetadata(
                remainingMillis,
                decision.upstream().id(),
                account,
                routed.priority(),
                after,
                decision.cacheSource().map(UpstreamState::entry));
        return UpstreamRequests.create(exchange, bodyBytes, context.headerCodec(), call, metadata);
    }
}
