package org.cuminspur.router.internal.traffic;

import org.cuminspur.quarantine.BrokenRequest;
import org.cuminspur.traffic.RequestMetadata;

/** Records what the attempts of one request show of their upstreams; used on the traffic thread. */
final class AttemptOutcomes {
    private final TrafficContext context;
    private final RequestMetadata call;
    private final RequestLog log;
    private long sentMillis;
    private long bodyStartedMillis = -1;

    AttemptOutcomes(TrafficContext context, RequestMetadata call, RequestLog log) {
        this.context = context;
        this.call = call;
        this.log = log;
    }

    /** Records that the request is sent. */
    void sent(long nowMillis) {
        sentMillis = nowMillis;
        bodyStartedMillis = -1;
    }

    /** Returns the time since the request was sent last. */
    long sinceSentMillis(long nowMillis) {
        return nowMillis - sentMillis;
    }

    /** Records that no connection could be made. */
    void notConnected(UpstreamExchange exchange, long nowMillis, long warmupMillis) {
        exchange.upstream().recordUnreachable(nowMillis);
        if (exchange.upstream().health().recordUnreachable(nowMillis)) {
            log.upstreamLeftOut(exchange.upstream(), "unreachable");
        }
        if (exchange.refused()) {
            context.upstreamEnds().recordRefused(exchange.upstream().entry(), nowMillis);
        }
        if (exchange.upstream().health().likelyStopped()) {
            exchange.upstream().assumeCold(nowMillis, warmupMillis);
        }
    }

    /** Records that a response to the request began. */
    void responded(UpstreamExchange exchange) {
        exchange.upstream().recordResponseStarted(exchange);
        context.upstreamEnds().recordAlive(exchange.upstream().entry(), sentMillis);
    }

    /** Records that bytes of the response's body arrived. */
    void bodyReceived(long nowMillis) {
        if (bodyStartedMillis < 0) {
            bodyStartedMillis = nowMillis;
        }
    }

    /** Records that the connection broke, or that the response was cut off. */
    void broken(UpstreamExchange exchange, String how, long nowMillis) {
        failed(exchange, how, nowMillis);
        long answeredMillis = bodyStartedMillis < 0 ? BrokenRequest.NOT_ANSWERED : nowMillis - bodyStartedMillis;
        context.upstreamEnds()
                .recordBroken(
                        exchange.upstream().entry(),
                        new BrokenRequest(call.requestId(), call.prompt().sharedParts(), answeredMillis),
                        nowMillis);
    }

    /** Records that the upstream failed the request. */
    void failed(UpstreamExchange exchange, String cause, long nowMillis) {
        if (exchange.upstream().health().recordFailure(nowMillis)) {
            log.upstreamLeftOut(exchange.upstream(), cause);
        }
    }
}
