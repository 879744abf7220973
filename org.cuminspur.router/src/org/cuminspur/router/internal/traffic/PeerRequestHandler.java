package org.cuminspur.router.internal.traffic;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.util.Optional;
import org.cuminspur.errors.ErrorKind;
import org.cuminspur.errors.Refusal;

/**
 * Receives requests that other instances cannot send to upstreams themselves.
 *
 * <p>Used on the traffic thread. Serves registered instances only, known by their addresses. A request takes the whole way
 * of a caller's, except that it goes on to upstreams only. Own callers go first: beyond a number of such requests, or while
 * the thread is late, another one is refused before its body is read.
 */
final class PeerRequestHandler implements HttpHandler {
    /** Bounds the memory that requests of other instances take. */
    private static final int MAX_IN_PROGRESS = 256;

    /** Lateness of the traffic thread from which it has no time for requests of others. */
    private static final long MAX_LATE_MS = 150;

    private static final int FORBIDDEN = 403;

    private final TrafficContext context;
    private final TrafficHandler handler;
    private int inProgress;

    PeerRequestHandler(TrafficContext context, TrafficHandler handler) {
        this.context = context;
        this.handler = handler;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        String host = exchange.getSourceAddress().getAddress().getHostAddress();
        boolean registered = context.upstreams().view().peers().values().stream()
                .anyMatch(peer -> peer.host().equals(host));
        Optional<Integer> runs = PeerHeaders.takeRuns(exchange.getRequestHeaders());
        if (!registered || runs.isEmpty()) {
            context.metrics().counter("peer-requests.rejected").inc();
            context.events().emit("peer-request-rejected", "from", host, "registered", registered);
            exchange.setStatusCode(FORBIDDEN);
            exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
            return;
        }
        if (inProgress >= MAX_IN_PROGRESS || context.paths().lateMillis() > MAX_LATE_MS) {
            context.metrics().counter("peer-requests.busy").inc();
            Refusal busy = Refusal.of(ErrorKind.PEER_UNAVAILABLE);
            PeerHeaders.putRefusal(exchange.getResponseHeaders(), busy);
            handler.refuse(exchange, busy);
            return;
        }
        inProgress++;
        exchange.addExchangeCompleteListener((done, next) -> {
            inProgress--;
            next.proceed();
        });
        handler.handle(exchange, Optional.of(new PeerGrant(host, runs.get())));
    }
}
