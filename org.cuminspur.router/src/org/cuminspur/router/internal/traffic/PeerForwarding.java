package org.cuminspur.router.internal.traffic;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.cuminspur.http.client.BodyEnd;
import org.cuminspur.id.InstanceId;
import org.cuminspur.retry.AttemptEvent;
import org.cuminspur.traffic.RequestMetadata;

/**
 * Sends one request through other instances, one after the other, and passes a response on.
 *
 * <p>Used on the I/O thread. A stream that breaks on this way is not resumed here: its caller may take it up again.
 */
final class PeerForwarding implements PeerAttempt.Listener {
    private final TrafficContext context;
    private final HttpServerExchange exchange;
    private final RequestMetadata call;
    private final byte[] body;
    private final CallerResponse response;
    private final RequestLog log;
    private final ForwardingListener listener;
    private final Set<InstanceId> tried = new HashSet<>();
    private PeerAttempt attempt;

    PeerForwarding(
            TrafficContext context,
            HttpServerExchange exchange,
            RequestMetadata call,
            byte[] body,
            CallerResponse response,
            RequestLog log,
            ForwardingListener listener) {
        this.context = context;
        this.exchange = exchange;
        this.call = call;
        this.body = body;
        this.response = response;
        this.log = log;
        this.listener = listener;
    }

    /**
     * Sends the request through an instance that reaches its service.
     *
     * @param runs upstreams that may run it
     */
    void send(RoutedCall routed, int runs) {
        long leftMillis = routed.deadlineMillis() - context.clock().millis();
        Optional<PeerInstance> chosen =
                context.paths().choosePeer(context.upstreams().view(), routed.service(), tried);
        if (chosen.isEmpty()) {
            listener.handle(new AttemptEvent.NoUpstream());
            return;
        }
        PeerInstance peer = chosen.get();
        tried.add(peer.id());
        log.sentThroughPeer(routed, peer, runs, leftMillis);
        attempt = new PeerAttempt(context, call, routed.service(), peer, runs, log, this);
        attempt.start(UpstreamRequests.createForPeer(exchange, body.length, context.headerCodec(), leftMillis), body);
    }

    /** Pauses or resumes reading the response. */
    void pause(boolean pause) {
        if (attempt != null) {
            attempt.pause(pause);
        }
    }

    /** Ends the attempt in progress, which ends the request at the other instance. */
    void cancel(GiveUpReason reason) {
        if (attempt != null) {
            attempt.cancel(reason);
            attempt = null;
        }
    }

    /** Returns whether there is an attempt in progress of which a part may have been sent. */
    boolean isSent() {
        return attempt != null && attempt.isSent();
    }

    /** Returns the number of instances that the request was sent through. */
    int attempts() {
        return tried.size();
    }

    @Override
    public void peerFailed(AttemptEvent event) {
        attempt = null;
        listener.handle(event);
    }

    @Override
    public void peerResponded(int status, HeaderMap headers) {
        listener.decide(new AttemptEvent.AnswerStarted());
        listener.begin(status, headers, false);
    }

    @Override
    public void peerBodyReceived(ByteBuffer bytes) {
        response.write(response.take(bytes));
    }

    @Override
    public void peerBodyEnded(BodyEnd end) {
        if (response.isComplete(end)) {
            attempt = null;
            listener.complete();
        } else {
            peerBroken();
        }
    }

    @Override
    public void peerBroken() {
        attempt = null;
        listener.handle(new AttemptEvent.BrokenDuringAnswer(false));
    }
}
