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
import org.cuminspur.traffic.PromptDescription;
import org.cuminspur.traffic.RequestLimits;
import org.cuminspur.traffic.RequestMetadata;

/**
 * Receives requests on the traffic thread and starts a {@link RequestFlow} for each.
 *
 * <p>Used on the traffic thread. A request that breaks a limit is refused before its body is read.
 */
final class TrafficHandler implements HttpHandler {
    /** Limits until a configuration names others. */
    private static final RequestLimits FIRST_LIMITS = new RequestLimits(16_384, 4_194_304, 3_000, 15_000);

    /** Longest time for a body; far above what the largest takes on the slowest link. */
    private static final long BODY_TIMEOUT_MS = 10_000;

    private static final RequestMetadata UNREADABLE =
            new RequestMetadata("", Optional.empty(), OptionalLong.empty(), PromptDescription.NONE, Optional.empty());

    private final TrafficContext traffic;

    TrafficHandler(TrafficContext traffic) {
        this.traffic = traffic;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        long arrived = traffic.clock().millis();
        traffic.callers().busy(exchange);
        RequestLimits limits = traffic.board()
                .view()
                .routes()
                .map(routes -> routes.config().limits())
                .orElse(FIRST_LIMITS);
        Optional<Refusal> refusal = new HeadLimits(limits.maxHeaderBytes()).checkHeaders(exchange);
        if (refusal.isPresent()) {
            refuse(exchange, refusal.get());
            return;
        }
        Either<Refusal, RequestMetadata> call = traffic.headerCodec().decodeCall(exchange.getRequestHeaders());
        if (call.isLeft()) {
            refuse(exchange, call.getLeft());
            return;
        }
        exchange.setMaxEntitySize(limits.maxBodyBytes());
        new BodyReceiver(
                        exchange,
                        () -> EarlyRefusal.close(exchange),
                        kind -> refuse(exchange, Refusal.of(kind)),
                        (same, body) -> received(exchange, call.get(), body, arrived))
                .start(BODY_TIMEOUT_MS);
    }

    private void received(HttpServerExchange exchange, RequestMetadata call, byte[] body, long arrived) {
        exchange.dispatch(
                SameThreadExecutor.INSTANCE, () -> new RequestFlow(traffic, exchange, call, body, arrived).start());
    }

    private void refuse(HttpServerExchange exchange, Refusal refusal) {
        ErrorKind kind = refusal.kind();
        HeaderMap headers = exchange.getResponseHeaders();
        exchange.setStatusCode(traffic.headerCodec().status(kind));
        headers.put(Headers.CONTENT_TYPE, "text/plain");
        traffic.headerCodec().encodeRefusal(headers, UNREADABLE, refusal);
        traffic.metrics().counter("requests." + kind.label()).inc();
        traffic.events().emit("refused-unread", "kind", kind.label(), "detail", refusal.detail());
        EarlyRefusal.sendAndClose(exchange, kind.message().getBytes(StandardCharsets.US_ASCII));
    }
}
