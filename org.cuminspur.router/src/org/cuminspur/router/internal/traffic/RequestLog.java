package org.cuminspur.router.internal.traffic;

import java.util.concurrent.TimeUnit;
import org.cuminspur.traffic.PlacementDecision;
import org.cuminspur.traffic.RequestMetadata;
import org.cuminspur.traffic.UpstreamState;
import org.cuminspur.traffic.ViewFreshness;

/** Logs and counts the decisions on one request; used on the traffic thread. */
final class RequestLog {
    private final TrafficContext context;
    private final RequestMetadata call;

    RequestLog(TrafficContext context, RequestMetadata call) {
        this.context = context;
        this.call = call;
    }

    void placed(RoutedCall routed, PlacementDecision decision, int attempt, long now) {
        UpstreamState upstream = decision.upstream();
        context.metrics().counter("placed." + decision.reason().name()).inc();
        context.events()
                .emit(
                        "placed",
                        "request",
                        call.requestId(),
                        "route",
                        routed.route().id().value(),
                        "upstream",
                        upstream.id().value(),
                        "reason",
                        decision.reason().name(),
                        "cacheSource",
                        decision.cacheSource()
                                .map(source -> source.id().value())
                                .orElse(""),
                        "prompt",
                        Long.toHexString(call.prompt().sharedPrefixKey().orElse(0)),
                        "sharedTokens",
                        call.prompt().sharedPrefixTokens(),
                        "attempt",
                        attempt,
                        "own",
                        upstream.inFlight(),
                        "waiting",
                        Math.round(upstream.estimatedWaiting(now)),
                        "cold",
                        upstream.isCold(now),
                        "revision",
                        routed.revision(),
                        "viewAgeMillis",
                        viewAge(context.freshness()),
                        "leftMillis",
                        routed.deadlineMillis() - now);
    }

    void attemptFailed(UpstreamExchange exchange, String how, int status, long afterMillis) {
        context.metrics().counter("attempts.failed." + how).inc();
        context.events()
                .emit(
                        "attempt-failed",
                        "request",
                        call.requestId(),
                        "upstream",
                        exchange.upstream().id().value(),
                        "how",
                        how,
                        "status",
                        status,
                        "reused",
                        exchange.reused(),
                        "cause",
                        exchange.cause(),
                        "afterMillis",
                        afterMillis);
    }

    void upstreamLeftOut(UpstreamState upstream, String cause) {
        context.metrics().counter("upstreams.left-out").inc();
        context.events()
                .emit(
                        "upstream-left-out",
                        "upstream",
                        upstream.id().value(),
                        "cause",
                        cause,
                        "failureRate",
                        upstream.health().failureRate());
    }

    /** Logs the end of the request; times are since its arrival, {@code firstByteMillis} is -1 without a response. */
    void ended(RoutedCall routed, String outcome, int status, int attempts, long firstByteMillis, long millis) {
        String route = routed == null ? "none" : routed.route().id().value();
        context.metrics().counter("requests." + outcome).inc();
        context.metrics().timer("requests." + routeKind(routed)).update(millis, TimeUnit.MILLISECONDS);
        context.events()
                .emit(
                        "ended",
                        "request",
                        call.requestId(),
                        "outcome",
                        outcome,
                        "status",
                        status,
                        "route",
                        route,
                        "attempts",
                        attempts,
                        "firstByteMillis",
                        firstByteMillis,
                        "millis",
                        millis,
                        "viewAgeMillis",
                        viewAge(context.freshness()));
    }

    private static String routeKind(RoutedCall routed) {
        return routed == null ? "unrouted" : routed.route().kind().name().toLowerCase(java.util.Locale.ROOT);
    }

    private static long viewAge(ViewFreshness freshness) {
        long age = freshness.ageMillis();
        return age == Long.MAX_VALUE ? -1 : age;
    }
}
