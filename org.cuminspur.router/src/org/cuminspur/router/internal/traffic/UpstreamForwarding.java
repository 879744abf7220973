package org.cuminspur.router.internal.traffic;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.Set;
import org.cuminspur.errors.Refusal;
import org.cuminspur.id.ServiceId;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.quarantine.Suspects;
import org.cuminspur.retry.AttemptEvent;
import org.cuminspur.retry.LeavingUpstreamPolicy;
import org.cuminspur.retry.NextStep;
import org.cuminspur.traffic.PlacementDecision;
import org.cuminspur.traffic.RequestMetadata;
import org.cuminspur.traffic.ResponseMetadata;
import org.cuminspur.traffic.UpstreamState;

/**
 * Sends one request to upstreams, one after the other, and passes a response on.
 *
 * <p>Used on the I/O thread. An attempt ends in exactly one way: complete or broken response, refusal, or cancellation.
 */
final class UpstreamForwarding implements UpstreamExchange.Listener<UpstreamState>, UnansweredRequests.Unanswered {
    private static final int SERVER_ERROR = 500;
    private static final int REDIRECTION = 300;

    private final TrafficContext context;
    private final HttpServerExchange exchange;
    private final RequestMetadata call;
    private final byte[] body;
    private final CallerResponse response;
    private final StreamContinuation continuation;
    private final RequestLog log;
    private final ForwardingListener listener;
    private final AttemptOutcomes outcomes;
    private final AttemptPlanner planner;
    private final Set<UpstreamId> tried = new HashSet<>();
    private RoutedCall routed;
    private UpstreamExchange<UpstreamState> upstreamExchange;

    UpstreamForwarding(
            TrafficContext context,
            HttpServerExchange exchange,
            RequestMetadata call,
            byte[] body,
            CallerResponse response,
            StreamContinuation continuation,
            RequestLog log,
            ForwardingListener listener) {
        this.context = context;
        this.exchange = exchange;
        this.call = call;
        this.body = body;
        this.response = response;
        this.continuation = continuation;
        this.log = log;
        this.listener = listener;
        this.outcomes = new AttemptOutcomes(context, call, log);
        this.planner = new AttemptPlanner(context, call, outcomes, log, listener::isFinished);
    }

    /** Sets the route, once it is known. */
    void route(RoutedCall routedCall) {
        routed = routedCall;
        outcomes.identify(UpstreamRequests.identity(exchange, routed, body));
    }

    /** Sends the request to an upstream that it was not sent to, at once or soon. */
    void send() {
        planner.plan(routed, tried, continuation.version(), this::planned);
    }

    /** Pauses or resumes reading the response. */
    void pause(boolean pause) {
        if (upstreamExchange != null) {
            upstreamExchange.pause(pause);
        }
    }

    /** Ends the attempt in progress, which ends the request at the upstream. */
    void cancel(GiveUpReason reason) {
        if (upstreamExchange != null) {
            giveUp(upstreamExchange, reason);
        }
    }

    private void giveUp(UpstreamExchange<UpstreamState> attempt, GiveUpReason reason) {
        attempt.cancel();
        outcomes.givenUp(now());
        log.attemptGivenUp(attempt, reason, outcomes.sinceSentMillis(now()));
        detach(attempt);
    }

    /** Returns whether there is an attempt in progress of which a part may have been sent. */
    boolean isSent() {
        return upstreamExchange != null && upstreamExchange.isSent();
    }

    /** Returns the number of upstreams that the request was sent to. */
    int attempts() {
        return tried.size();
    }

    /** Returns the upstream of the attempt in progress. */
    UpstreamId upstream() {
        return upstreamExchange.destination().id();
    }

    /** Returns the event for a response that broke off, or that never began. */
    private AttemptEvent brokenEvent() {
        return response.begun()
                ? new AttemptEvent.BrokenDuringAnswer(response.resumePoint().isPresent() && continuation.certain())
                : new AttemptEvent.BrokenBeforeAnswer();
    }

    private void planned(Either<AttemptEvent, PlacementDecision> plan) {
        if (listener.isFinished()) {
            return;
        }
        if (!routed.leavesTimeToSend(now())) {
            listener.handle(new AttemptEvent.TooLateToSend());
        } else {
            plan.peek(this::startAttempt).peekLeft(listener::handle);
        }
    }

    private void startAttempt(PlacementDecision decision) {
        long now = now();
        UpstreamState upstream = decision.upstream();
        log.placed(routed, decision, tried.size() + 1, now);
        tried.add(upstream.id());
        outcomes.sent(upstream, routed, now);
        upstreamExchange =
                new UpstreamExchange<>(upstream, call.requestId(), context.connections(), context.responses(), this);
        upstream.recordSent(upstreamExchange, now);
        upstream.health().recordAttempt(now);
        context.unanswered().add(this);
        upstreamExchange.start(
                planner.request(exchange, body.length, routed, decision, response.resumePoint(), now), body);
    }

    @Override
    public void notConnected(UpstreamExchange<UpstreamState> from) {
        detach(from);
        outcomes.notConnected(from, now(), context.upstreams().warmupMillis(routed.service()));
        context.balancer().recordFailure(from.destination());
        attemptFailed(from, "not-connected", 0, new AttemptEvent.NotConnected());
    }

    @Override
    public boolean mayStillSend(UpstreamExchange<UpstreamState> from) {
        return from.destination().acceptsNewWork() && from.destination().leftOutMillis(now()) == 0;
    }

    @Override
    public void withdrawn(UpstreamExchange<UpstreamState> from) {
        detach(from);
        attemptFailed(from, "withdrawn", 0, new AttemptEvent.NotConnected());
    }

    @Override
    public void responseStarted(UpstreamExchange<UpstreamState> from, int responseStatus, HeaderMap headers) {
        ResponseMetadata metadata = context.headerCodec().decodeAnswer(responseStatus, headers);
        boolean belongs = metadata.belongsTo(call.requestId(), responseStatus < REDIRECTION, from.reused());
        outcomes.withdrawn(from, metadata);
        if (!belongs) {
            giveUp(from, GiveUpReason.FOREIGN_RESPONSE);
            outcomes.failed(from, "foreign-answer", now());
            attemptFailed(from, "foreign-answer", responseStatus, brokenEvent());
            return;
        }
        outcomes.responded(from, metadata);
        boolean failed = responseStatus >= SERVER_ERROR
                || context.headerCodec().impliesNotRun(responseStatus)
                || !response.mayContinueWith(responseStatus, routed.isEventStream(headers));
        reported(from.destination(), metadata, failed && !metadata.notRun());
        log.limitNamed(from.destination(), metadata.limit());
        if (metadata.notRun()) {
            from.discard();
            detach(from);
            attemptFailed(
                    from, "not-run", responseStatus, new AttemptEvent.Refused(true, Refusal.DEFAULT_RETRY_AFTER_MS));
        } else if (failed) {
            serverError(from, responseStatus, headers);
        } else {
            from.destination().health().recordSuccess();
            listener.decide(new AttemptEvent.AnswerStarted());
            relayHead(responseStatus, headers);
        }
    }

    private void reported(UpstreamState upstream, ResponseMetadata metadata, boolean failed) {
        metadata.load().ifPresent(load -> {
            log.loadReported(load);
            context.loadNotices().reported(upstream, load);
            if (!failed) {
                // How quickly an upstream fails says nothing of how it works.
                context.balancer()
                        .report(upstream, metadata.notRun() ? load : load.after(outcomes.sinceSentMillis(now())));
            }
        });
        if (failed) {
            context.balancer().recordError(upstream);
        }
    }

    private void serverError(UpstreamExchange<UpstreamState> from, int responseStatus, HeaderMap headers) {
        outcomes.failed(from, "status", now());
        // Relaying such a status would tell the caller "not run", which the upstream did not state.
        boolean mayRelay = !response.begun() && !context.headerCodec().impliesNotRun(responseStatus);
        NextStep next = listener.decide(mayRelay ? new AttemptEvent.ServerError() : brokenEvent());
        if (next instanceof NextStep.Relay) {
            relayHead(responseStatus, headers);
            return;
        }
        from.discard();
        detach(from);
        log.attemptFailed(from, "status", responseStatus, outcomes.sinceSentMillis(now()));
        listener.perform(next);
    }

    private void relayHead(int responseStatus, HeaderMap headers) {
        if (response.begun()) {
            response.resumed();
            return;
        }
        listener.begin(responseStatus, headers, routed.route().resumable());
    }

    @Override
    public void bodyReceived(UpstreamExchange<UpstreamState> from, ByteBuffer bytes) {
        context.unanswered().remove(this);
        if (response.status() < REDIRECTION) {
            outcomes.bodyReceived(bytes.remaining(), now());
            call.prompt()
                    .sharedPrefixKey()
                    .ifPresent(key -> context.promptCaches()
                            .recordServed(key, from.destination().id(), now()));
        }
        ByteBuffer relayed = response.take(bytes);
        if (response.resumable() && relayed.hasRemaining()) {
            continuation.delivering(from.destination(), routed);
        }
        response.write(relayed);
        if (response.hasGap()) {
            giveUp(from, GiveUpReason.STREAM_GAP);
            listener.abort("stream-gap");
        }
    }

    @Override
    public void bodyEnded(UpstreamExchange<UpstreamState> from) {
        if (!response.isComplete(from.end())) {
            responseBroken(from, "truncated");
            return;
        }
        detach(from);
        response.writeRemainder();
        if (response.status() < REDIRECTION) {
            outcomes.completed(now());
        }
        listener.complete();
    }

    @Override
    public void connectionBroken(UpstreamExchange<UpstreamState> from) {
        responseBroken(from, from.invalid() ? "invalid" : "broken");
    }

    private void responseBroken(UpstreamExchange<UpstreamState> from, String how) {
        detach(from);
        context.balancer().recordFailure(from.destination());
        log.attemptFailed(from, how, response.status(), outcomes.sinceSentMillis(now()));
        boolean repeatable = response.begun()
                ? response.resumePoint().isPresent()
                : routed.route().idempotent();
        if (repeatable) {
            outcomes.broken(from, how, now(), this::repeatOrEnd);
        } else {
            outcomes.broken(from, how, now(), mayRepeat -> {});
            listener.handle(brokenEvent());
        }
    }

    private void repeatOrEnd(boolean mayRepeat) {
        if (!listener.isFinished()) {
            listener.handle(mayRepeat ? brokenEvent() : new AttemptEvent.CrashSuspected(response.begun()));
        }
    }

    @Override
    public Suspects suspects() {
        return outcomes.suspects();
    }

    @Override
    public ServiceId service() {
        return routed.service();
    }

    @Override
    public void cutOff() {
        boolean sent = upstreamExchange.isSent();
        if (!response.begun() && (!sent || routed.route().idempotent())) {
            cancel(GiveUpReason.CUT_OFF);
            listener.handle(sent ? brokenEvent() : new AttemptEvent.NotConnected());
        }
    }

    @Override
    public void moveOnIfUpstreamLeaves() {
        UpstreamState upstream = upstreamExchange.destination();
        boolean silent = upstreamExchange.isSent() && upstreamExchange.progress() != ExchangeProgress.RESPONDING;
        long now = now();
        if (silent
                && !response.begun()
                && LeavingUpstreamPolicy.givesUp(
                        context.bounds(),
                        upstream.standing(),
                        now - upstream.standingSinceMillis(),
                        outcomes.sinceSentMillis(now))
                && listener.tryMoveOn()) {
            cancel(GiveUpReason.UPSTREAM_LEAVES);
            listener.perform(new NextStep.Send());
        }
    }

    @Override
    public void quarantined() {
        cancel(GiveUpReason.QUARANTINED);
        repeatOrEnd(false);
    }

    private void attemptFailed(
            UpstreamExchange<UpstreamState> from, String how, int responseStatus, AttemptEvent event) {
        log.attemptFailed(from, how, responseStatus, outcomes.sinceSentMillis(now()));
        listener.handle(event);
    }

    private void detach(UpstreamExchange<UpstreamState> from) {
        upstreamExchange = null;
        context.unanswered().remove(this);
        from.destination().recordEnded(from);
        log.upstreamResponseEnded(from, response.insideEvent());
    }

    private long now() {
        return context.clock().millis();
    }
}
