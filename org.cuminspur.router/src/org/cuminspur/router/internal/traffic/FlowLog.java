package org.cuminspur.router.internal.traffic;

import java.util.concurrent.TimeUnit;
import org.cuminspur.traffic.PlacementDecision;
import org.cuminspur.traffic.RequestMetadata;
import org.cuminspur.traffic.UpstreamState;
import org.cuminspur.traffic.ViewFreshness;

/** Logs and counts what is decided about one request; used on the traffic thread. */
final class FlowLog {
    private final TrafficContext traffic;
    private final RequestMetadata call;

    FlowLog(TrafficContext traffic, RequestMetadata call) {
        this.traffic = traffic;
        this.call = call;
    }

    void placed(RoutedCall routed, PlacementDecision choice, int attempt, long now) {
        UpstreamState upstream = choice.upstream();
        traffic.metrics().counter("placed." + choice.reason().name()).inc();
        traffic.events()
                .emit(
                        "placed",
                        "request",
                        call.requestId(),
                        "route",
                        routed.route().id().value(),
                        "upstream",
                        upstream.id().value(),
                        "reason",
                        choice.reason().name(),
                        "cacheSource",
                        choice.cacheSource().map(source -> source.id().value()).orElse(""),
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
                        age(traffic.freshness()),
                        "leftMillis",
                        routed.deadlineMillis() - now);
    }

    void attemptFailed(UpstreamSend send, String how, int status, long afterMillis) {
        traffic.metrics().counter("attempts.failed." + how).inc();
        traffic.events()
                .emit(
                        "attempt-failed",
                        "request",
                        call.requestId(),
                        "upstream",
                        send.upstream().id().value(),
                        "how",
                        how,
                        "status",
                        status,
                        "reused",
                        send.reused(),
                        "cause",
                        send.cause(),
                        "afterMillis",
                        afterMillis);
    }

    void leftOut(UpstreamState upstream, String cause) {
        traffic.metrics().counter("upstreams.left-out").inc();
        traffic.events()
                .emit(
                        "upstream-left-out",
                        "upstream",
                        upstream.id().value(),
                        "cause",
                        cause,
                        "failureRate",
                        upstream.health().failureRate());
    }

    /** Logs the end of the request; times are from its arrival, -1 where there was none. */
    void ended(RoutedCall routed, String outcome, int status, int attempts, long firstByteMillis, long millis) {
        String route = routed == null ? "none" : routed.route().id().value();
        traffic.metrics().counter("requests." + outcome).inc();
        traffic.metrics().timer("requests." + kind(routed)).update(millis, TimeUnit.MILLISECONDS);
        traffic.events()
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
                        age(traffic.freshness()));
    }

    private static String kind(RoutedCall routed) {
        return routed == null ? "unrouted" : routed.route().kind().name().toLowerCase(java.util.Locale.ROOT);
    }

    private static long age(ViewFreshness freshness) {
        long age = freshness.ageMillis();
        return age == Long.MAX_VALUE ? -1 : age;
    }
}
