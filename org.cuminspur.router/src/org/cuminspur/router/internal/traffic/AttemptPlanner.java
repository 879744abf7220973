package org.cuminspur.router.internal.traffic;

import io.undertow.client.ClientRequest;
import io.undertow.server.HttpServerExchange;
import io.vavr.control.Either;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.cuminspur.balance.BalanceDecision;
import org.cuminspur.balance.RequestTerms;
import org.cuminspur.errors.ErrorKind;
import org.cuminspur.errors.Refusal;
import org.cuminspur.id.AccountId;
import org.cuminspur.id.SoftwareVersion;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.quarantine.TrialUpstreams;
import org.cuminspur.retry.AttemptEvent;
import org.cuminspur.traffic.ClientAccount;
import org.cuminspur.traffic.ForwardMetadata;
import org.cuminspur.traffic.PlacementDecision;
import org.cuminspur.traffic.PromptPlacement;
import org.cuminspur.traffic.RequestMetadata;
import org.cuminspur.traffic.UpstreamState;

/** Chooses the upstream of a request's next attempt and builds the request to it; used on the traffic thread. */
final class AttemptPlanner {
    private final TrafficContext context;
    private final RequestMetadata call;
    private final AttemptOutcomes outcomes;
    private final RequestLog log;
    private final BooleanSupplier finished;

    /**
     * Creates a planner for one request.
     *
     * @param finished returns whether the request has ended, so that nothing is planned for it any more
     */
    AttemptPlanner(
            TrafficContext context,
            RequestMetadata call,
            AttemptOutcomes outcomes,
            RequestLog log,
            BooleanSupplier finished) {
        this.context = context;
        this.call = call;
        this.outcomes = outcomes;
        this.log = log;
        this.finished = finished;
    }

    /**
     * Plans the next attempt.
     *
     * @param tried upstreams that the request was already sent to
     * @param version the only software version that may take it, if its stream is bound to one
     * @param result receives the upstream, or why there is none, at once or soon
     */
    void plan(
            RoutedCall routed,
            Set<UpstreamId> tried,
            Optional<SoftwareVersion> version,
            Consumer<Either<AttemptEvent, PlacementDecision>> result) {
        outcomes.admit(admission -> {
            if (admission.admitted()) {
                choose(routed, tried, version, result);
            } else {
                Refusal refusal = new Refusal(ErrorKind.QUARANTINED, "", admission.retryAfterMillis());
                result.accept(Either.left(new AttemptEvent.HeldBack(refusal)));
            }
        });
    }

    private void choose(
            RoutedCall routed,
            Set<UpstreamId> tried,
            Optional<SoftwareVersion> version,
            Consumer<Either<AttemptEvent, PlacementDecision>> result) {
        Optional<SoftwareVersion> canary = version.isEmpty() && tried.isEmpty()
                ? context.rollouts().draw(routed.service(), routed.route().id())
                : Optional.empty();
        choose(routed, tried, version, canary, result);
    }

    private void choose(
            RoutedCall routed,
            Set<UpstreamId> tried,
            Optional<SoftwareVersion> version,
            Optional<SoftwareVersion> canary,
            Consumer<Either<AttemptEvent, PlacementDecision>> result) {
        PromptPlacement.Criteria criteria = criteria(routed, tried, version, canary);
        place(routed, criteria, chosen -> {
            if (chosen.isLeft() && canary.isPresent()) {
                choose(routed, tried, version, Optional.empty(), result);
            } else if (chosen.isRight() && outcomes.heldBackMeanwhile()) {
                plan(routed, tried, version, result);
            } else {
                result.accept(chosen);
            }
        });
    }

    /** Chooses an upstream, by what the whole fleet knows where that is shared. */
    private void place(
            RoutedCall routed,
            PromptPlacement.Criteria criteria,
            Consumer<Either<AttemptEvent, PlacementDecision>> result) {
        if (criteria.sharedPrefixKey().isPresent()
                || !context.balancer().balances(routed.service(), candidates(routed, criteria))) {
            permit(routed, criteria, result);
            return;
        }
        long sinceMillis = context.clock().millis();
        context.balancer()
                .choose(
                        routed.service(),
                        terms(routed, sinceMillis),
                        () -> finished.getAsBoolean() ? List.of() : candidates(routed, criteria),
                        decision -> {
                            if (!finished.getAsBoolean()) {
                                log.waited(context.clock().millis() - sinceMillis);
                                place(routed, criteria, decision, result);
                            }
                        });
    }

    private void place(
            RoutedCall routed,
            PromptPlacement.Criteria criteria,
            BalanceDecision decision,
            Consumer<Either<AttemptEvent, PlacementDecision>> result) {
        if (decision instanceof BalanceDecision.Rejected rejected) {
            log.noRoom(routed, rejected.retryAfterMillis());
            Refusal refusal = new Refusal(ErrorKind.OVERLOADED, "", rejected.retryAfterMillis());
            result.accept(Either.left(new AttemptEvent.HeldBack(refusal)));
        } else if (decision instanceof BalanceDecision.Assigned assigned) {
            permit(routed, criteria.only(assigned.upstream(), upstreams(routed)), chosen -> {
                if (chosen.isLeft()) {
                    permit(routed, criteria, result);
                } else {
                    result.accept(chosen);
                }
            });
        } else {
            permit(routed, criteria, result);
        }
    }

    private List<UpstreamState> candidates(RoutedCall routed, PromptPlacement.Criteria criteria) {
        return context.placement()
                .candidatesWithEjected(
                        upstreams(routed), criteria, context.clock().millis());
    }

    private static RequestTerms terms(RoutedCall routed, long now) {
        return new RequestTerms(
                routed.priority(),
                routed.account().map(account -> account.id().value().hashCode()).orElse(0),
                (int) (routed.aimMillis() - now),
                (int) (routed.deadlineMillis() - now),
                0);
    }

    private void permit(
            RoutedCall routed,
            PromptPlacement.Criteria criteria,
            Consumer<Either<AttemptEvent, PlacementDecision>> result) {
        context.permitPlacement()
                .choose(
                        () -> upstreams(routed),
                        criteria,
                        chosen -> result.accept(chosen.<Either<AttemptEvent, PlacementDecision>>map(Either::right)
                                .orElseGet(() -> Either.left(noUpstream(routed)))));
    }

    private PromptPlacement.Criteria criteria(
            RoutedCall routed,
            Set<UpstreamId> tried,
            Optional<SoftwareVersion> version,
            Optional<SoftwareVersion> canary) {
        Set<UpstreamId> excluded =
                new HashSet<>(outcomes.isTrial() ? TrialUpstreams.unsuited(upstreams(routed)) : Set.of());
        excluded.addAll(tried);
        if (canary.isPresent()) {
            excluded.addAll(context.rollouts().unsuited(routed.service()));
        }
        OptionalLong key = routed.route().promptAffinity() ? call.prompt().sharedPrefixKey() : OptionalLong.empty();
        return PromptPlacement.Criteria.of(
                key,
                context.upstreams().view(),
                routed.service(),
                context.promptCaches(),
                excluded,
                version.or(() -> canary),
                context.clock().millis());
    }

    /** Returns why no upstream can take the request: if limits leave some out, with the time until the first may. */
    private AttemptEvent noUpstream(RoutedCall routed) {
        long now = context.clock().millis();
        OptionalLong waitMillis = upstreams(routed).stream()
                .filter(UpstreamState::acceptsNewWork)
                .mapToLong(upstream -> upstream.leftOutMillis(now))
                .filter(millis -> millis > 0)
                .min();
        return waitMillis.isEmpty()
                ? new AttemptEvent.NoUpstream()
                : new AttemptEvent.HeldBack(new Refusal(ErrorKind.OVERLOADED, "", waitMillis.getAsLong()));
    }

    private List<UpstreamState> upstreams(RoutedCall routed) {
        return context.upstreams().upstreams(routed.service());
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
