package org.cuminspur.router.internal.traffic;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;
import org.cuminspur.errors.ErrorKind;
import org.cuminspur.errors.Refusal;
import org.cuminspur.router.internal.caller.BodyReceiver;
import org.cuminspur.router.internal.caller.EarlyRefusal;
import org.cuminspur.router.internal.caller.HeadLimits;
import org.cuminspur.traffic.BodyBudget;
import org.cuminspur.traffic.PromptDescription;
import org.cuminspur.traffic.RequestLimits;
import org.cuminspur.traffic.RequestMetadata;

/**
 * Receives requests and starts a {@link RequestForwarder} for each.
 *
 * <p>Used on the traffic thread. A request that breaks a limit is refused before its body is read.
 */
final class TrafficHandler implements HttpHandler {
    /** Longest time to receive a body; far above what the largest one takes on the slowest link. */
    private static final long BODY_TIMEOUT_MS = 10_000;

    private static final RequestMetadata UNREAD_CALL = new RequestMetadata(
            "", Optional.empty(), OptionalLong.empty(), PromptDescription.NONE, Optional.empty(), Optional.empty());

    private final BodyBudget bodies = BodyBudget.ofHeap();
    private final TrafficContext context;

    TrafficHandler(TrafficContext context) {
        this.context = context;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        handle(exchange, Optional.empty());
    }

    /**
     * Handles a request.
     *
     * @param grant what another instance allows that sent the request, empty if a caller sent it
     */
    void handle(HttpServerExchange exchange, Optional<PeerGrant> grant) {
        long arrivedMillis = context.clock().millis();
        context.callers().requestStarted(exchange);
        context.stop().requestStarted();
        exchange.addExchangeCompleteListener((completed, next) -> {
            context.stop().requestEnded();
            next.proceed();
        });
        RequestLimits limits = context.requestLimits();
        Optional<Refusal> refusal = new HeadLimits(limits.maxHeaderBytes()).checkHeaders(exchange);
        if (refusal.isPresent()) {
            refuse(exchange, refusal.get());
            return;
        }
        Either<Refusal, RequestMetadata> call = context.headerCodec().decodeCall(exchange.getRequestHeaders());
        if (call.isLeft()) {
            refuse(exchange, call.getLeft());
            return;
        }
        exchange.setMaxEntitySize(limits.maxBodyBytes());
        new BodyReceiver(
                        exchange,
                        bodies,
                        () -> EarlyRefusal.close(exchange),
                        kind -> refuse(exchange, Refusal.of(kind)),
                        (same, body) -> received(exchange, call.get(), body, arrivedMillis, grant))
                .start(BODY_TIMEOUT_MS);
    }

    private void received(
            HttpServerExchange exchange,
            RequestMetadata call,
            byte[] body,
            long arrivedMillis,
            Optional<PeerGrant> grant) {
        grant.ifPresent(from -> context.events()
                .emit("received-from-peer", "request", call.requestId(), "peer", from.host(), "runs", from.runs()));
        exchange.dispatch(
                SameThreadExecutor.INSTANCE,
                () -> new RequestForwarder(context, exchange, call, body, arrivedMillis, grant).start());
    }

    /** Refuses a request that was not read. */
    void refuse(HttpServerExchange exchange, Refusal refusal) {
        ErrorKind kind = refusal.kind();
        HeaderMap headers = exchange.getResponseHeaders();
        exchange.setStatusCode(context.headerCodec().status(kind));
        headers.put(Headers.CONTENT_TYPE, "text/plain");
        context.headerCodec().encodeRefusal(headers, UNREAD_CALL, refusal);
        context.metrics().counter("requests." + kind.label()).inc();
        context.events().emit("refused-unread", "kind", kind.label(), "detail", refusal.detail());
        EarlyRefusal.sendAndClose(exchange, kind.message().getBytes(StandardCharsets.US_ASCII));
    }
}
