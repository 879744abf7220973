package org.cuminspur.router.internal.traffic;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.cuminspur.errors.ErrorKind;
import org.cuminspur.errors.Refusal;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.retry.AttemptEvent;
import org.cuminspur.retry.AttemptStateMachine;
import org.cuminspur.retry.NextStep;
import org.cuminspur.retry.RetryConstraints;
import org.cuminspur.router.internal.caller.ClientDisconnectMonitor;
import org.cuminspur.traffic.FleetRetryBudget;
import org.cuminspur.traffic.PlacementDecision;
import org.cuminspur.traffic.RequestMetadata;
import org.cuminspur.traffic.ResponseMetadata;
import org.cuminspur.traffic.UpstreamState;
import org.xnio.XnioExecutor;

/**
 * Takes one request from its arrival to its end.
 *
 * <p>Used on the input-output thread, which it never blocks. {@link AttemptStateMachine} decides what follows each event of
 * an attempt; this class carries it out. A request ends in exactly one way: whole answer, refusal, cut answer, or
 * caller gone.
 */
final class RequestFlow implements UpstreamSend.Listener, CallerReply.Listener {
    /** Time past its deadline that an answer on its way is still waited for; callers allow a quarter second. */
    private static final long LAST_MOMENT_MS = 120;

    /** Least time in which an answer can come; a request with less is not worth an upstream's slot. */
    private static final long LEAST_USEFUL_MS = 30;

    /** Part of a caller's patience that it may wait for a start, so that it can still turn to another instance. */
    private static final double PATIENCE_FOR_START = 0.6;

    private static final int SERVER_ERROR = 500;
    private static final int REDIRECTION = 300;

    private final TrafficContext traffic;
    private final HttpServerExchange exchange;
    private final byte[] body;
    private final RequestMetadata call;
    private final long arrivedMillis;
    private final CallerReply reply;
    private final ClientDisconnectMonitor watch;
    private final FlowLog log;
    private final AttemptPlanner planner;
    private final Set<UpstreamId> tried = new HashSet<>();
    private final EventRelay relay = new EventRelay();
    private RoutedCall routed;
    private AttemptStateMachine attempts;
    private XnioExecutor.Key timer;
    private UpstreamSend send;
    private long sentMillis;
    private long firstByteMillis = -1;
    private int status;
    private boolean over;

    RequestFlow(
            TrafficContext traffic,
            HttpServerExchange exchange,
            RequestMetadata call,
            byte[] body,
            long arrivedMillis) {
        this.traffic = traffic;
        this.exchange = exchange;
        this.call = call;
        this.body = body;
        this.arrivedMillis = arrivedMillis;
        this.reply = new CallerReply(exchange, this);
        this.watch = new ClientDisconnectMonitor(exchange, this::gone);
        this.log = new FlowLog(traffic, call);
        this.planner = new AttemptPlanner(traffic, call);
    }

    void start() {
        traffic.stop().entered();
        watch.start();
        route(true);
    }

    /** Routes the request; one let in by a key waits until the key is sure to be in force still. */
    private void route(boolean mayWait) {
        if (over) {
            return;
        }
        Either<Refusal, RoutedCall> found =
                traffic.router().route(traffic.board().view(), exchange, call, arrivedMillis);
        boolean current = traffic.confirmations().current();
        if (!current && (found.isLeft() || found.get().keyed())) {
            if (mayWait) {
                traffic.confirmations().whenCurrent(longestWait(), confirmed -> route(false));
            } else {
                boolean started = traffic.board().view().routes().isPresent();
                refuse(Refusal.of(started ? ErrorKind.VIEW_STALE : ErrorKind.NOT_READY));
            }
        } else if (found.isLeft()) {
            refuse(found.getLeft());
        } else if (!traffic.stop().takes(arrivedMillis, found.get().deadlineMillis())) {
            refuse(Refusal.of(ErrorKind.STOPPING));
        } else {
            begin(found.get());
        }
    }

    private long longestWait() {
        if (traffic.board().view().routes().isPresent()) {
            return ConfirmationQueue.CONFIRM_WAIT_MS;
        }
        double patience = PATIENCE_FOR_START * call.callerTimeoutMillis().orElse(Long.MAX_VALUE);
        return (long) Math.min(ConfirmationQueue.START_WAIT_MS, patience);
    }

    private void begin(RoutedCall known) {
        routed = known;
        long left = routed.deadlineMillis() - now() + LAST_MOMENT_MS;
        timer = exchange.getIoThread().executeAfter(this::expired, Math.max(1, left), TimeUnit.MILLISECONDS);
        FleetRetryBudget budget = traffic.retryBudget(routed.service());
        budget.recordRequest();
        RetryConstraints constraints = new RetryConstraints(
                routed.route().idempotent(),
                routed.deadlineMillis(),
                routed.route().maxAttempts());
        attempts = new AttemptStateMachine(constraints, budget, traffic.clock());
        step(attempts.start());
    }

    private void step(NextStep next) {
        if (next instanceof NextStep.Send || next instanceof NextStep.Resume) {
            place();
        } else if (next instanceof NextStep.Refuse refuse) {
            refuse(refuse.refusal());
        } else if (next instanceof NextStep.AbortAnswer abort) {
            cut(abort.refusal().kind().label());
        }
    }

    private void place() {
        long now = now();
        if (routed.deadlineMillis() - now < LEAST_USEFUL_MS) {
            step(attempts.handle(new AttemptEvent.TooLateToSend()));
            return;
        }
        Optional<PlacementDecision> chosen = planner.choose(routed, tried, now);
        if (chosen.isEmpty()) {
            step(attempts.handle(new AttemptEvent.NoUpstream()));
            return;
        }
        UpstreamState upstream = chosen.get().upstream();
        log.placed(routed, chosen.get(), tried.size() + 1, now);
        tried.add(upstream.id());
        sentMillis = now;
        send = new UpstreamSend(upstream, traffic.connections(), traffic.buffer(), this);
        upstream.recordSent(send, now);
        upstream.health().recordAttempt(now);
        send.start(planner.request(exchange, body.length, routed, chosen.get(), relay.resumePoint(), now), body);
    }

    @Override
    public void notConnected(UpstreamSend from) {
        settle(from);
        long now = now();
        if (from.upstream().health().recordUnreachable(now)) {
            log.leftOut(from.upstream(), "unreachable");
        }
        if (from.upstream().health().likelyStopped()) {
            from.upstream().assumeCold(now, warmupMillis());
        }
        failed(from, "not-connected", 0, new AttemptEvent.NotConnected());
    }

    @Override
    public void answered(UpstreamSend from, int answerStatus, HeaderMap headers) {
        ResponseMetadata head = traffic.headerCodec().decodeAnswer(answerStatus, headers);
        if (!ours(head, answerStatus)) {
            from.cancel();
            settle(from);
            noteFailure(from, "foreign-answer");
            failed(from, "foreign-answer", answerStatus, broken());
            return;
        }
        from.upstream().recordResponseStarted(from);
        head.load().ifPresent(load -> from.upstream().recordReportedLoad(load.running(), load.waiting(), now()));
        if (head.notRun()) {
            from.discard();
            settle(from);
            failed(from, "not-run", answerStatus, new AttemptEvent.Refused(true, Refusal.DEFAULT_RETRY_AFTER_MS));
        } else if (answerStatus >= SERVER_ERROR || traffic.headerCodec().impliesNotRun(answerStatus)) {
            serverError(from, answerStatus, headers);
        } else {
            from.upstream().health().recordSuccess();
            attempts.handle(new AttemptEvent.AnswerStarted());
            relay(answerStatus, headers);
        }
    }

    /** Returns whether an answer is one to this request, and signed if it claims success. */
    private boolean ours(ResponseMetadata head, int answerStatus) {
        boolean success = answerStatus < REDIRECTION;
        return head.requestId().map(call.requestId()::equals).orElse(!success) && (head.signed() || !success);
    }

    private void serverError(UpstreamSend from, int answerStatus, HeaderMap headers) {
        noteFailure(from, "status");
        // Without the upstream's word, such a status would promise the caller what nobody knows.
        boolean mayPass = !relay.begun() && !traffic.headerCodec().impliesNotRun(answerStatus);
        NextStep next = attempts.handle(mayPass ? new AttemptEvent.ServerError() : broken());
        if (next instanceof NextStep.Relay) {
            relay(answerStatus, headers);
            return;
        }
        from.discard();
        settle(from);
        log.attemptFailed(from, "status", answerStatus, now() - sentMillis);
        step(next);
    }

    private void relay(int answerStatus, HeaderMap headers) {
        if (relay.begun()) {
            relay.resumed();
            return;
        }
        status = answerStatus;
        firstByteMillis = now() - arrivedMillis;
        boolean resumable = routed.route().resumable() && answerStatus < REDIRECTION;
        relay.begin(resumable);
        HeaderMap passed = UpstreamRequests.answer(headers, traffic.headerCodec());
        sendElsewhere(passed);
        reply.begin(answerStatus, passed);
    }

    @Override
    public void body(UpstreamSend from, ByteBuffer bytes) {
        reply.write(relay.take(bytes));
        if (relay.lost()) {
            from.cancel();
            settle(from);
            cut("stream-gap");
        }
    }

    @Override
    public void ended(UpstreamSend from) {
        settle(from);
        reply.write(relay.rest());
        attempts.handle(new AttemptEvent.AnswerCompleted());
        finish(status >= SERVER_ERROR ? "upstream-failed" : "served");
        reply.end();
    }

    @Override
    public void broken(UpstreamSend from) {
        settle(from);
        noteFailure(from, "broken");
        failed(from, "broken", status, broken());
    }

    /** Returns the event of an answer that broke off, or that never began. */
    private AttemptEvent broken() {
        return relay.begun()
                ? new AttemptEvent.BrokenDuringAnswer(relay.resumePoint().isPresent())
                : new AttemptEvent.BrokenBeforeAnswer();
    }

    @Override
    public void paused(boolean pause) {
        if (send != null) {
            send.pause(pause);
        }
    }

    @Override
    public void gone() {
        if (!over) {
            cancelSend();
            finish("caller-gone");
            reply.cut();
        }
    }

    private void expired() {
        if (!over) {
            cancelSend();
            step(attempts.handle(
                    relay.begun() ? new AttemptEvent.TimedOutDuringAnswer() : new AttemptEvent.TimedOutBeforeAnswer()));
        }
    }

    private void refuse(Refusal why) {
        if (relay.begun()) {
            cut(why.kind().label());
            return;
        }
        Refusal refusal = traffic.returnTime().refusal(why.kind(), why.detail());
        HeaderMap headers = new HeaderMap();
        headers.put(Headers.CONTENT_TYPE, "text/plain");
        traffic.headerCodec().encodeRefusal(headers, call, refusal);
        sendElsewhere(headers);
        status = traffic.headerCodec().status(refusal.kind());
        finish(refusal.kind().label());
        reply.answer(status, headers, refusal.kind().message().getBytes(StandardCharsets.US_ASCII));
    }

    private void cut(String cause) {
        finish("cut-" + cause);
        reply.cut();
    }

    /** Has the caller open its next connection, which the balancer leads to an instance that is ready. */
    private void sendElsewhere(HeaderMap headers) {
        if (traffic.stop().stopping() || traffic.confirmations().doubtful()) {
            exchange.setPersistent(false);
            headers.put(Headers.CONNECTION, "close");
        }
    }

    private void failed(UpstreamSend from, String how, int answerStatus, AttemptEvent event) {
        log.attemptFailed(from, how, answerStatus, now() - sentMillis);
        step(attempts.handle(event));
    }

    private void noteFailure(UpstreamSend from, String cause) {
        if (from.upstream().health().recordFailure(now())) {
            log.leftOut(from.upstream(), cause);
        }
    }

    private void cancelSend() {
        if (send != null) {
            send.cancel();
            settle(send);
        }
    }

    private void settle(UpstreamSend from) {
        send = null;
        from.upstream().recordEnded(from);
    }

    private void finish(String outcome) {
        over = true;
        watch.stop();
        if (timer != null) {
            timer.remove();
        }
        traffic.stop().left();
        log.ended(routed, outcome, status, tried.size(), firstByteMillis, now() - arrivedMillis);
    }

    private long warmupMillis() {
        return traffic.board().warmupMillis(routed.service());
    }

    private long now() {
        return traffic.clock().millis();
    }
}
