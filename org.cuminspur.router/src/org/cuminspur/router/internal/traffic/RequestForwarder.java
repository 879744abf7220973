package org.cuminspur.router.internal.traffic;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cuminspur.errors.ErrorKind;
import org.cuminspur.errors.Refusal;
import org.cuminspur.http.client.BodyEnd;
import org.cuminspur.http.client.BodyFraming;
import org.cuminspur.reachability.PathState;
import org.cuminspur.retry.AttemptEvent;
import org.cuminspur.retry.AttemptStateMachine;
import org.cuminspur.retry.NextStep;
import org.cuminspur.retry.RetryConstraints;
import org.cuminspur.router.internal.caller.ClientDisconnectMonitor;
import org.cuminspur.traffic.FleetRetryBudget;
import org.cuminspur.traffic.RequestMetadata;
import org.xnio.XnioExecutor;

/**
 * Forwards one request to upstreams until it is answered, refused or cancelled.
 *
 * <p>Used on the I/O thread, which it never blocks. {@link AttemptStateMachine} decides the next step after each event of
 * an attempt; this class performs it. A request ends in exactly one way: complete response, refusal, aborted response,
 * or disconnected caller.
 */
final class RequestForwarder implements ForwardingListener, ResponseWriter.Listener {
    /** Time past its deadline that a response is still waited for; callers tolerate a quarter second. */
    private static final long DEADLINE_TOLERANCE_MS = 120;

    private static final int SERVER_ERROR = 500;
    private static final int REDIRECTION = 300;

    private final TrafficContext context;
    private final HttpServerExchange exchange;
    private final byte[] body;
    private final RequestMetadata call;
    private final long arrivedMillis;
    private final CallerResponse response;
    private final ClientDisconnectMonitor disconnectMonitor;
    private final RequestLog log;
    private final Optional<PeerGrant> grant;
    private final UpstreamForwarding upstreams;
    private final PeerForwarding peers;
    private final RequestRouting routing;
    private RoutedCall routed;
    private AttemptStateMachine attempts;
    private final Runnable stopNow = this::stopNow;
    private XnioExecutor.Key timer;
    private long firstByteMillis = -1;
    private boolean finished;

    /**
     * Creates a forwarder without starting it.
     *
     * @param grant what another instance allows that sent the request, empty if a caller sent it
     */
    RequestForwarder(
            TrafficContext context,
            HttpServerExchange exchange,
            RequestMetadata call,
            byte[] body,
            long arrivedMillis,
            Optional<PeerGrant> grant) {
        this.context = context;
        this.grant = grant;
        this.exchange = exchange;
        this.call = call;
        this.body = body;
        this.arrivedMillis = arrivedMillis;
        this.response = new CallerResponse(context, exchange, this);
        this.disconnectMonitor = new ClientDisconnectMonitor(exchange, this::disconnected);
        this.log = new RequestLog(context, call);
        this.peers = new PeerForwarding(context, exchange, call, body, response, log, this);
        StreamContinuation continuation = new StreamContinuation(context, call);
        this.upstreams = new UpstreamForwarding(context, exchange, call, body, response, continuation, log, this);
        this.routing = new RequestRouting(context, exchange, call, continuation, arrivedMillis);
    }

    void start() {
        context.stop().unanswered(stopNow);
        disconnectMonitor.start();
        routing.route(found -> found.peek(this::startAttempts).peekLeft(this::refuse));
    }

    private void startAttempts(RoutedCall routedCall) {
        if (finished) {
            return;
        }
        routed = routedCall;
        upstreams.route(routed);
        long left = routed.deadlineMillis() - now() + DEADLINE_TOLERANCE_MS;
        timer = exchange.getIoThread().executeAfter(this::deadlinePassed, Math.max(1, left), TimeUnit.MILLISECONDS);
        FleetRetryBudget budget = context.retryBudget(routed.service());
        if (grant.isEmpty()) {
            // The instance that the caller connected to counts it.
            budget.recordRequest();
        }
        int maxRuns = grant.map(PeerGrant::runs).orElse(routed.route().maxAttempts());
        RetryConstraints constraints =
                new RetryConstraints(routed.route().idempotent(), routed.deadlineMillis(), maxRuns);
        attempts = new AttemptStateMachine(constraints, budget, context.clock());
        perform(attempts.start());
    }

    @Override
    public void perform(NextStep next) {
        if (next instanceof NextStep.Send && !response.begun() && isCutOff()) {
            sendThroughPeer();
        } else if (next instanceof NextStep.Send || next instanceof NextStep.Resume) {
            upstreams.send();
        } else if (next instanceof NextStep.Refuse refuse) {
            refuse(refuse.refusal());
        } else if (next instanceof NextStep.AbortAnswer abort) {
            abort(abort.refusal().kind().label());
        }
    }

    /** Returns whether the next attempt cannot use the own path; a request of another instance may use it for a trial. */
    private boolean isCutOff() {
        return grant.isPresent()
                ? context.paths().monitor().state(routed.service()) == PathState.CUT_OFF
                : !context.paths().monitor().usesOwnPath(routed.service());
    }

    private void sendThroughPeer() {
        if (grant.isPresent()) {
            handle(new AttemptEvent.HeldBack(Refusal.of(ErrorKind.PEER_UNAVAILABLE)));
        } else if (!routed.leavesTimeToSend(now())) {
            handle(new AttemptEvent.TooLateToSend());
        } else {
            peers.send(routed, attempts.grantableRuns());
        }
    }

    @Override
    public NextStep decide(AttemptEvent event) {
        return attempts.handle(event);
    }

    @Override
    public boolean tryMoveOn() {
        return attempts.tryMoveOn();
    }

    @Override
    public boolean isFinished() {
        return finished;
    }

    @Override
    public void begin(int responseStatus, HeaderMap headers, boolean resumable) {
        firstByteMillis = now() - arrivedMillis;
        boolean eventStream = responseStatus < REDIRECTION && routed.isEventStream(headers);
        HeaderMap relayed = UpstreamRequests.responseHeaders(headers, context.headerCodec(), eventStream);
        if (grant.isPresent()) {
            PeerHeaders.putUpstream(relayed, upstreams.upstream());
        }
        response.begin(responseStatus, relayed, eventStream, eventStream && resumable);
    }

    @Override
    public void complete() {
        attempts.handle(new AttemptEvent.AnswerCompleted());
        finish(response.status() >= SERVER_ERROR ? "upstream-failed" : "served", response.framing(), BodyEnd.COMPLETE);
        response.end();
    }

    @Override
    public void backpressureChanged(boolean pause) {
        upstreams.pause(pause);
        peers.pause(pause);
    }

    @Override
    public void disconnected() {
        if (!finished) {
            cancelAttempt(GiveUpReason.CALLER_GONE);
            finish("caller-gone", response.framing(), BodyEnd.BROKEN);
            response.abort();
        }
    }

    @Override
    public void unread(int heldBytes) {
        context.metrics().counter("responses.unread").inc();
        context.events().emit("response-unread", "request", call.requestId(), "heldBytes", heldBytes);
        disconnected();
    }

    private void deadlinePassed() {
        if (!finished) {
            cancelAttempt(GiveUpReason.DEADLINE);
            handle(
                    response.begun()
                            ? new AttemptEvent.TimedOutDuringAnswer()
                            : new AttemptEvent.TimedOutBeforeAnswer());
        }
    }

    /** Ends the request at the end of a planned stop: with an answer that says whether it may have run, if none has begun. */
    private void stopNow() {
        if (!finished) {
            boolean sent = upstreams.isSent() || peers.isSent();
            cancelAttempt(GiveUpReason.INSTANCE_STOPS);
            if (attempts == null) {
                refuse(Refusal.of(ErrorKind.STOPPING));
            } else {
                handle(new AttemptEvent.InstanceStops(sent, response.begun()));
            }
        }
    }

    private void refuse(Refusal reason) {
        if (finished) {
            return;
        }
        if (response.begun()) {
            abort(reason.kind().label());
            return;
        }
        Refusal refusal = context.retryAfter().refusal(reason);
        HeaderMap headers = new HeaderMap();
        context.headerCodec().encodeRefusal(headers, call, refusal);
        if (grant.isPresent()) {
            PeerHeaders.putRefusal(headers, reason);
        }
        response.prepareRefusal(refusal.kind(), headers);
        finish(refusal.kind().label(), BodyFraming.LENGTH, BodyEnd.COMPLETE);
        response.sendRefusal(refusal.kind(), headers);
    }

    @Override
    public void abort(String cause) {
        finish("cut-" + cause, response.framing(), BodyEnd.ABORTED);
        response.abort();
    }

    private void cancelAttempt(GiveUpReason reason) {
        upstreams.cancel(reason);
        peers.cancel(reason);
    }

    private void finish(String outcome, BodyFraming framing, BodyEnd end) {
        finished = true;
        disconnectMonitor.stop();
        if (timer != null) {
            timer.remove();
        }
        context.stop().answered(stopNow);
        log.callerResponseEnded(framing, end);
        log.ended(
                routed,
                outcome,
                response.status(),
                upstreams.attempts() + peers.attempts(),
                firstByteMillis,
                now() - arrivedMillis);
    }

    private long now() {
        return context.clock().millis();
    }
}
