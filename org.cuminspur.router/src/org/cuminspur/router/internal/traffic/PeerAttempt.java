package org.cuminspur.router.internal.traffic;

import io.undertow.client.ClientRequest;
import io.undertow.util.HeaderMap;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.Set;
import org.cuminspur.errors.ErrorKind;
import org.cuminspur.errors.Refusal;
import org.cuminspur.errors.RunState;
import org.cuminspur.http.client.BodyEnd;
import org.cuminspur.id.ServiceId;
import org.cuminspur.retry.AttemptEvent;
import org.cuminspur.traffic.RequestMetadata;
import org.cuminspur.traffic.ResponseMetadata;

/**
 * Sends a caller's request through another instance, which serves it as one of its own callers'.
 *
 * <p>Used on the I/O thread. The other instance states why it has no response of an upstream, so a refusal is true here too.
 * If the connection to it breaks, as many upstreams may have run the request as it was allowed.
 */
final class PeerAttempt implements UpstreamExchange.Listener<PeerInstance> {
    private static final int REDIRECTION = 300;

    /** Refusals after which another instance may serve the request; the others tell of the request or its upstreams. */
    private static final Set<ErrorKind> OF_INSTANCE = Set.of(
            ErrorKind.PEER_UNAVAILABLE,
            ErrorKind.NOT_READY,
            ErrorKind.VIEW_STALE,
            ErrorKind.STOPPING,
            ErrorKind.UPSTREAM_UNREACHABLE,
            ErrorKind.UNAUTHENTICATED,
            ErrorKind.NO_ROUTE);

    /** Receives the events of the attempt. */
    interface Listener {
        /** The attempt ended before a response was passed on. */
        void peerFailed(AttemptEvent event);

        /** The head of an upstream's response arrived. */
        void peerResponded(int status, HeaderMap headers);

        /** A part of the body arrived; the buffer is valid during the call only. */
        void peerBodyReceived(ByteBuffer bytes);

        /** The body ended. */
        void peerBodyEnded(BodyEnd end);

        /** The connection broke after a response began. */
        void peerBroken();
    }

    private final TrafficContext context;
    private final RequestMetadata call;
    private final ServiceId service;
    private final PeerInstance peer;
    private final int runs;
    private final RequestLog log;
    private final Listener listener;
    private final UpstreamExchange<PeerInstance> exchange;
    private final long sentMillis;
    private boolean responded;
    private boolean ended;

    /**
     * Creates an attempt without starting it.
     *
     * @param runs upstreams that may run the request
     */
    PeerAttempt(
            TrafficContext context,
            RequestMetadata call,
            ServiceId service,
            PeerInstance peer,
            int runs,
            RequestLog log,
            Listener listener) {
        this.context = context;
        this.call = call;
        this.service = service;
        this.peer = peer;
        this.runs = runs;
        this.log = log;
        this.listener = listener;
        this.sentMillis = context.clock().millis();
        this.exchange =
                new UpstreamExchange<>(peer, call.requestId(), context.connections(), context.responses(), this);
    }

    void start(ClientRequest request, byte[] body) {
        PeerHeaders.putRuns(request.getRequestHeaders(), runs);
        context.paths().monitor().relayStarted(peer.id());
        exchange.start(request, body);
    }

    boolean isSent() {
        return exchange.isSent();
    }

    void pause(boolean pause) {
        exchange.pause(pause);
    }

    /** Ends the attempt, which ends the request at the other instance. */
    void cancel(GiveUpReason reason) {
        exchange.cancel();
        log.peerAttemptGivenUp(exchange, reason, context.clock().millis() - sentMillis);
        end();
    }

    @Override
    public void notConnected(UpstreamExchange<PeerInstance> from) {
        fail("not-connected", new AttemptEvent.NotConnected());
    }

    @Override
    public boolean mayStillSend(UpstreamExchange<PeerInstance> from) {
        return true;
    }

    @Override
    public void withdrawn(UpstreamExchange<PeerInstance> from) {
        fail("withdrawn", new AttemptEvent.NotConnected());
    }

    @Override
    public void responseStarted(UpstreamExchange<PeerInstance> from, int status, HeaderMap headers) {
        ResponseMetadata metadata = context.headerCodec().decodeAnswer(status, headers);
        Optional<Refusal> refusal = PeerHeaders.refusal(headers);
        if (metadata.namesOther(call.requestId())) {
            foreign();
        } else if (refusal.isPresent()) {
            refused(status, refusal.get());
        } else {
            answered(status, headers, metadata);
        }
    }

    private void foreign() {
        cancel(GiveUpReason.FOREIGN_RESPONSE);
        fail("foreign-answer", new AttemptEvent.PeerBroken(runs));
    }

    private void refused(int status, Refusal refusal) {
        exchange.discard();
        boolean notRun = refusal.kind().runState() == RunState.NOT_RUN;
        if (notRun && OF_INSTANCE.contains(refusal.kind())) {
            fail(refusal.kind().label(), new AttemptEvent.Refused(true, refusal.retryAfterMillis()));
        } else {
            end();
            log(refusal.kind().label(), status);
            listener.peerFailed(new AttemptEvent.HeldBack(refusal));
        }
    }

    private void answered(int status, HeaderMap headers, ResponseMetadata metadata) {
        // An instance writes no response twice, so one that names no request is of this one.
        if (!metadata.belongsTo(call.requestId(), status < REDIRECTION, false)
                || context.headerCodec().impliesNotRun(status)) {
            foreign();
            return;
        }
        responded = true;
        PeerHeaders.upstream(headers).flatMap(context.upstreams()::find).ifPresent(upstream -> {
            context.rateLimits().recordResponse(upstream, sentMillis, metadata.limit());
            if (metadata.leaving() && upstream.recordLeaving(context.clock().millis())) {
                context.events()
                        .emit("upstream-leaves", "upstream", upstream.id().value());
            }
        });
        PeerHeaders.clear(headers);
        listener.peerResponded(status, headers);
    }

    @Override
    public void bodyReceived(UpstreamExchange<PeerInstance> from, ByteBuffer bytes) {
        listener.peerBodyReceived(bytes);
    }

    @Override
    public void bodyEnded(UpstreamExchange<PeerInstance> from) {
        end();
        listener.peerBodyEnded(from.end());
    }

    @Override
    public void connectionBroken(UpstreamExchange<PeerInstance> from) {
        String how = from.invalid() ? "invalid" : "broken";
        if (responded) {
            end();
            log(how, 0);
            listener.peerBroken();
        } else {
            fail(how, new AttemptEvent.PeerBroken(runs));
        }
    }

    private void fail(String how, AttemptEvent event) {
        end();
        context.paths().monitor().relayFailed(service, peer.id());
        log(how, 0);
        listener.peerFailed(event);
    }

    private void end() {
        if (!ended) {
            ended = true;
            context.paths().monitor().relayEnded(peer.id());
        }
    }

    private void log(String how, int status) {
        context.metrics().counter("peer-attempts.failed." + how).inc();
        context.events()
                .emit(
                        "peer-attempt-failed",
                        "request",
                        call.requestId(),
                        "peer",
                        peer.id().value(),
                        "how",
                        how,
                        "status",
                        status,
                        "cause",
                        exchange.cause(),
                        "afterMillis",
                        context.clock().millis() - sentMillis);
    }
}
