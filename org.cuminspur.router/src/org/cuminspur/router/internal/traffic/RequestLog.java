package org.cuminspur.router.internal.traffic;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cuminspur.balance.UpstreamReport;
import org.cuminspur.http.client.BodyEnd;
import org.cuminspur.http.client.BodyFraming;
import org.cuminspur.id.PromptPartId;
import org.cuminspur.ratelimit.NamedLimit;
import org.cuminspur.router.internal.caller.ResponseEndCounters;
import org.cuminspur.traffic.PlacementDecision;
import org.cuminspur.traffic.RequestMetadata;
import org.cuminspur.traffic.RequestPause;
import org.cuminspur.traffic.UpstreamState;
import org.cuminspur.traffic.ViewFreshness;

/** Logs and counts the decisions on one request; used on the traffic thread. */
final class RequestLog {
    /** Age from which a load report says little about the load now: longer than most requests last. */
    private static final long STALE_REPORT_MS = 2_000;

    private static final double TENTHS = 10;

    /** Parts of a prompt that a line names at most. */
    private static final int MAX_PARTS = 8;

    private final TrafficContext context;
    private final RequestMetadata call;
    private long reportedLoad = -1;
    private double namedLimit = -1;
    private BodyFraming upstreamFraming = BodyFraming.NONE;
    private BodyEnd upstreamEnd = BodyEnd.NONE;
    private boolean insideEvent;
    private BodyFraming callerFraming = BodyFraming.NONE;
    private BodyEnd callerEnd = BodyEnd.NONE;

    RequestLog(TrafficContext context, RequestMetadata call) {
        this.context = context;
        this.call = call;
    }

    void placed(RoutedCall routed, PlacementDecision decision, int attempt, long now) {
        OptionalLong reportAgeMillis = decision.estimate().reportAgeMillis();
        context.metrics().counter("placed." + decision.reason().name()).inc();
        if (reportAgeMillis.orElse(Long.MAX_VALUE) > STALE_REPORT_MS) {
            context.metrics().counter("placed.stale-report").inc();
        }
        Object[] choice = {
            "request",
            call.requestId(),
            "route",
            routed.route().id().value(),
            "upstream",
            decision.upstream().id().value(),
            "version",
            decision.upstream().entry().version().value(),
            "lastEvent",
            call.lastEventId().orElse(""),
            "resumes",
            call.resumes().orElse(""),
            "reason",
            decision.reason().name(),
            "cacheSource",
            decision.cacheSource().map(source -> source.id().value()).orElse(""),
            "prompt",
            Long.toHexString(call.prompt().sharedPrefixKey().orElse(0)),
            "sharedTokens",
            call.prompt().sharedPrefixTokens(),
            "parts",
            partNames(call.prompt().sharedParts()),
            "attempt",
            attempt
        };
        Object[] inputs = {
            "revision",
            routed.revision(),
            "viewAgeMillis",
            viewAge(context.freshness()),
            "leftMillis",
            routed.deadlineMillis() - now
        };
        Object[] fields = Stream.of(choice, loadFields(decision, now), inputs)
                .flatMap(Stream::of)
                .toArray();
        context.events().emit("placed", fields);
    }

    /** Records how long the request waited for the instance that assigns it to an upstream. */
    void waited(long millis) {
        context.metrics().histogram("balance.wait-millis").update(millis);
    }

    /** Logs that no upstream has room for the request before its limit. */
    void noRoom(RoutedCall routed, long retryAfterMillis) {
        context.metrics().counter("balance.no-room." + routed.service().value()).inc();
        context.events()
                .emit(
                        "no-room",
                        "request",
                        call.requestId(),
                        "route",
                        routed.route().id().value(),
                        "service",
                        routed.service().value(),
                        "priority",
                        routed.priority(),
                        "account",
                        routed.account().map(account -> account.id().value()).orElse(""),
                        "retryAfterMillis",
                        retryAfterMillis);
    }

    /** Logs that the request is sent through another instance, which logs it under the same id. */
    void sentThroughPeer(RoutedCall routed, PeerInstance peer, int runs, long leftMillis) {
        context.metrics().counter("peer-attempts.sent").inc();
        context.events()
                .emit(
                        "sent-through-peer",
                        "request",
                        call.requestId(),
                        "route",
                        routed.route().id().value(),
                        "service",
                        routed.service().value(),
                        "peer",
                        peer.id().value(),
                        "runs",
                        runs,
                        "leftMillis",
                        leftMillis);
    }

    /** Returns the ids of parts of a prompt for a log line, the first ones if there are many. */
    static String partNames(List<PromptPartId> parts) {
        return parts.stream().limit(MAX_PARTS).map(PromptPartId::toString).collect(Collectors.joining(","));
    }

    private static Object[] loadFields(PlacementDecision decision, long now) {
        UpstreamState upstream = decision.upstream();
        PlacementDecision.LoadEstimate estimate = decision.estimate();
        return new Object[] {
            "own",
            upstream.inFlight(),
            "waiting",
            Math.round(upstream.estimatedWaiting(now)),
            "load",
            tenths(estimate.load()),
            "meanLoad",
            tenths(estimate.mean()),
            "loadLimit",
            tenths(estimate.limit()),
            "reportAgeMillis",
            estimate.reportAgeMillis().orElse(-1),
            "cold",
            upstream.isCold(now)
        };
    }

    /** Notes the load that an upstream reported in its response, for the line on the end of the request. */
    void loadReported(UpstreamReport report) {
        reportedLoad = report.load();
    }

    /** Logs that an upstream said in a response that it leaves. */
    void upstreamLeaves(UpstreamState upstream) {
        context.events().emit("upstream-leaves", "upstream", upstream.id().value());
    }

    /** Logs that an upstream asked for a time without requests, or for something that is no time. */
    void upstreamPaused(UpstreamState upstream, RequestPause pause) {
        String event = pause.isValid() ? "upstream-paused" : "upstream-pause-invalid";
        context.events().emit(event, "upstream", upstream.id().value(), "millis", pause.millis());
    }

    /** Notes the limit that an upstream named in its response, for the line on the end of the request. */
    void limitNamed(UpstreamState upstream, Optional<NamedLimit> limit) {
        namedLimit = limit.filter(NamedLimit::isValid)
                .map(NamedLimit::requestsPerSecond)
                .orElse(-1.0);
        Optional<NamedLimit> before = upstream.namedLimit();
        if (!limit.equals(before)) {
            upstream.recordNamedLimit(limit);
            String event = limit.isEmpty()
                    ? "upstream-limit-ended"
                    : limit.get().isValid() ? "upstream-limit-named" : "upstream-limit-invalid";
            context.events().emit(event, "upstream", upstream.id().value(), "requestsPerSecond", namedLimit);
        }
    }

    /**
     * Counts how an upstream's response ended and notes it for the line on the end of the request.
     *
     * @param endsInsideEvent whether the body is a stream whose last event is incomplete
     */
    void upstreamResponseEnded(UpstreamExchange<UpstreamState> exchange, boolean endsInsideEvent) {
        upstreamFraming = exchange.framing();
        upstreamEnd = exchange.end();
        insideEvent = endsInsideEvent;
        if (upstreamEnd != BodyEnd.NONE) {
            context.metrics()
                    .counter(ResponseEndCounters.upstream(upstreamFraming, upstreamEnd))
                    .inc();
        }
        if (insideEvent) {
            context.metrics().counter("responses.upstream.inside-event").inc();
        }
    }

    /** Counts how the caller's response ended and notes it for the line on the end of the request. */
    void callerResponseEnded(BodyFraming framing, BodyEnd end) {
        callerFraming = framing;
        callerEnd = end;
        context.metrics().counter(ResponseEndCounters.caller(framing, end)).inc();
    }

    void attemptFailed(UpstreamExchange<UpstreamState> exchange, String how, int status, long afterMillis) {
        context.metrics().counter("attempts.failed." + how).inc();
        context.events()
                .emit(
                        "attempt-failed",
                        "request",
                        call.requestId(),
                        "upstream",
                        exchange.destination().id().value(),
                        "how",
                        how,
                        "status",
                        status,
                        "reused",
                        exchange.reused(),
                        "cause",
                        exchange.cause(),
                        "framing",
                        ResponseEndCounters.label(exchange.framing()),
                        "end",
                        ResponseEndCounters.label(exchange.end()),
                        "insideEvent",
                        insideEvent,
                        "afterMillis",
                        afterMillis);
    }

    /** Logs that this instance ended an attempt at an upstream that had not ended by itself. */
    void attemptGivenUp(UpstreamExchange<UpstreamState> exchange, GiveUpReason reason, long afterMillis) {
        UpstreamState upstream = exchange.destination();
        Object[] belief = {
            "upstream",
            upstream.id().value(),
            "standing",
            ResponseEndCounters.label(upstream.standing()),
            "standingMillis",
            context.clock().millis() - upstream.standingSinceMillis(),
            "viewAgeMillis",
            viewAge(context.freshness())
        };
        givenUp("attempt", exchange, reason, afterMillis, belief);
    }

    /** Logs that this instance ended an attempt through another instance. */
    void peerAttemptGivenUp(UpstreamExchange<PeerInstance> exchange, GiveUpReason reason, long afterMillis) {
        Object[] peer = {"peer", exchange.destination().id().value()};
        givenUp("peer-attempt", exchange, reason, afterMillis, peer);
    }

    private void givenUp(
            String kind, UpstreamExchange<?> exchange, GiveUpReason reason, long afterMillis, Object[] fields) {
        String label = ResponseEndCounters.label(reason);
        context.metrics().counter(kind + "s.given-up." + label).inc();
        Object[] attempt = {
            "request",
            call.requestId(),
            "reason",
            label,
            "progress",
            ResponseEndCounters.label(exchange.progress()),
            "connection",
            ResponseEndCounters.label(exchange.connectionEnd()),
            "afterMillis",
            afterMillis
        };
        context.events()
                .emit(
                        kind + "-given-up",
                        Stream.of(attempt, fields).flatMap(Stream::of).toArray());
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

    /**
     * Logs the end of the request; times are since its arrival, {@code firstByteMillis} is -1 without a response and
     * {@code reportedLoad} and {@code namedLimit} without them.
     */
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
                        "reportedLoad",
                        reportedLoad,
                        "namedLimit",
                        namedLimit,
                        "upstreamFraming",
                        ResponseEndCounters.label(upstreamFraming),
                        "upstreamEnd",
                        ResponseEndCounters.label(upstreamEnd),
                        "insideEvent",
                        insideEvent,
                        "callerFraming",
                        ResponseEndCounters.label(callerFraming),
                        "callerEnd",
                        ResponseEndCounters.label(callerEnd),
                        "viewAgeMillis",
                        viewAge(context.freshness()));
    }

    private static double tenths(double value) {
        return Math.round(value * TENTHS) / TENTHS;
    }

    private static String routeKind(RoutedCall routed) {
        return routed == null
                ? "unrouted"
                : ResponseEndCounters.label(routed.route().kind());
    }

    private static long viewAge(ViewFreshness freshness) {
        long age = freshness.ageMillis();
        return age == Long.MAX_VALUE ? -1 : age;
    }
}
