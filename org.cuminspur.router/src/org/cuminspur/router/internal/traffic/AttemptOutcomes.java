package org.cuminspur.router.internal.traffic;

import java.util.function.Consumer;
import org.cuminspur.quarantine.Admission;
import org.cuminspur.quarantine.BrokenRequest;
import org.cuminspur.quarantine.CrashQuarantine;
import org.cuminspur.quarantine.RequestIdentity;
import org.cuminspur.quarantine.Suspects;
import org.cuminspur.reachability.PathState;
import org.cuminspur.rollout.AnswerObserver;
import org.cuminspur.traffic.RequestMetadata;
import org.cuminspur.traffic.RequestPause;
import org.cuminspur.traffic.ResponseMetadata;
import org.cuminspur.traffic.UpstreamState;

/** Admits the attempts of one request, and records what they show of their upstreams; used on the traffic thread. */
final class AttemptOutcomes {
    private final TrafficContext context;
    private final RequestMetadata call;
    private final RequestLog log;
    private Suspects suspects;
    private long sentMillis;
    private long bodyStartedMillis = -1;
    private boolean proven;
    private boolean trial;
    private AnswerObserver answer = AnswerObserver.NONE;

    AttemptOutcomes(TrafficContext context, RequestMetadata call, RequestLog log) {
        this.context = context;
        this.call = call;
        this.log = log;
    }

    /** Sets what is the same in all repeats of the request, which is known once it is routed. */
    void identify(RequestIdentity identity) {
        suspects = new Suspects(identity, call.prompt().sharedParts());
    }

    /** Returns what of the request may crash upstreams. */
    Suspects suspects() {
        return suspects;
    }

    /** Decides whether the request may be sent to an upstream; the result is passed on at once or soon. */
    void admit(Consumer<Admission> result) {
        if (trial) {
            result.accept(Admission.TRIAL);
            return;
        }
        context.crashGuard().admit(suspects, admission -> {
            trial = admission.trial();
            result.accept(admission);
        });
    }

    /** Returns whether the request was admitted as a trial and has not reached an upstream. */
    boolean isTrial() {
        return trial;
    }

    /** Returns whether one of its suspects was quarantined after the request had been admitted. */
    boolean heldBackMeanwhile() {
        return !trial && context.crashGuard().holdsBack(suspects);
    }

    /** Records that the request is sent. */
    void sent(UpstreamState upstream, RoutedCall routed, long nowMillis) {
        answer = context.rollouts().observe(upstream, routed.route().id(), call.prompt());
        sentMillis = nowMillis;
        bodyStartedMillis = -1;
        proven = false;
    }

    /** Returns the time since the request was sent last. */
    long sinceSentMillis(long nowMillis) {
        return nowMillis - sentMillis;
    }

    /** Records that no connection could be made. */
    void notConnected(UpstreamExchange<UpstreamState> exchange, long nowMillis, long warmupMillis) {
        exchange.destination().recordUnreachable(nowMillis);
        if (exchange.destination().health().recordUnreachable(nowMillis)) {
            log.upstreamLeftOut(exchange.destination(), "unreachable");
        }
        if (exchange.refused()) {
            context.crashGuard().recordRefused(exchange.destination());
        }
        if (exchange.destination().health().likelyStopped()) {
            assumeColdUnlessCutOff(exchange.destination(), warmupMillis);
        }
    }

    private void assumeColdUnlessCutOff(UpstreamState upstream, long warmupMillis) {
        context.paths().monitor().whenSettled(upstream.entry().service(), state -> {
            if (state != PathState.CUT_OFF) {
                upstream.assumeCold(context.clock().millis(), warmupMillis);
            }
        });
    }

    /**
     * Records what the upstream says of itself, also in a response to another request that comes late.
     *
     * <p>That its process leaves stays true, also in an earlier response that comes once more. A pause counts from its response,
     * so a repeated one is over at another time than it says.
     */
    void withdrawn(UpstreamExchange<UpstreamState> exchange, ResponseMetadata metadata) {
        boolean repeated = metadata.requestId().filter(exchange::repeats).isPresent();
        metadata.pause().filter(pause -> !repeated).ifPresent(pause -> pause(exchange.destination(), pause));
        if (metadata.leaving()
                && exchange.destination().recordLeaving(context.clock().millis())) {
            log.upstreamLeaves(exchange.destination());
        }
    }

    /** Records that a response to the request began. */
    void responded(UpstreamExchange<UpstreamState> exchange, ResponseMetadata metadata) {
        context.paths().monitor().received(exchange.destination().entry());
        context.rateLimits().recordResponse(exchange.destination(), sentMillis, metadata.limit());
        exchange.destination().recordResponseStarted(exchange);
        context.crashGuard().recordAlive(exchange.destination(), sentMillis);
    }

    private void pause(UpstreamState upstream, RequestPause pause) {
        if (pause.isValid()) {
            upstream.pause(pause.millis(), context.clock().millis());
            log.upstreamPaused(upstream, pause);
        } else if (upstream.recordInvalidPause()) {
            log.upstreamPaused(upstream, pause);
        }
    }

    /** Records that bytes of a successful response's body arrived. */
    void bodyReceived(int bytes, long nowMillis) {
        answer.received(bytes, nowMillis);
        if (bodyStartedMillis < 0) {
            bodyStartedMillis = nowMillis;
        }
        if (!proven && nowMillis - bodyStartedMillis >= CrashQuarantine.PROVEN_MS) {
            answered();
        }
    }

    /** Records that a successful response is complete; its body may be empty. */
    void completed(long nowMillis) {
        answer.completed(nowMillis);
        bodyStartedMillis = bodyStartedMillis < 0 ? nowMillis : bodyStartedMillis;
        answered();
    }

    /** Records that the attempt was given up. */
    void givenUp(long nowMillis) {
        answer.givenUp(nowMillis);
    }

    private void answered() {
        if (!proven && bodyStartedMillis >= 0) {
            proven = true;
            context.crashGuard().recordAnswered(suspects, bodyStartedMillis);
        }
    }

    /**
     * Records that the connection broke, or that the response was cut off.
     *
     * @param mayRepeat receives whether the request may be sent to another upstream, at once or soon
     */
    void broken(UpstreamExchange<UpstreamState> exchange, String how, long nowMillis, Consumer<Boolean> mayRepeat) {
        failed(exchange, how, nowMillis);
        long answeredMillis = bodyStartedMillis < 0 ? BrokenRequest.NOT_ANSWERED : nowMillis - bodyStartedMillis;
        BrokenRequest request = new BrokenRequest(call.requestId(), suspects, answeredMillis);
        context.crashGuard().recordBroken(exchange.destination(), request, mayRepeat);
    }

    /** Records that the upstream failed the request. */
    void failed(UpstreamExchange<UpstreamState> exchange, String cause, long nowMillis) {
        trial = false;
        answer.failed();
        if (exchange.destination().health().recordFailure(nowMillis)) {
            log.upstreamLeftOut(exchange.destination(), cause);
        }
    }
}
