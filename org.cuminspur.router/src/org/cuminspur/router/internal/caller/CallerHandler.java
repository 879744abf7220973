package org.cuminspur.router.internal.caller;

import com.codahale.metrics.MetricRegistry;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import java.io.IOException;
import org.cuminspur.errors.ErrorKind;
import org.cuminspur.errors.Refusal;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Receives a request's body without a thread of its own, then hands the request to the pipeline on a worker thread.
 *
 * <p>Thread-safe.
 */
final class CallerHandler implements HttpHandler {
    private static final Logger log = LoggerFactory.getLogger(CallerHandler.class);

    private final RequestPipeline pipeline;
    private final MetricRegistry metrics;

    CallerHandler(RequestPipeline pipeline, MetricRegistry metrics) {
        this.pipeline = pipeline;
        this.metrics = metrics;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        exchange.getRequestReceiver().receiveFullBytes(this::received, this::failed);
    }

    private void received(HttpServerExchange exchange, byte[] body) {
        exchange.dispatch(() -> serve(exchange, body));
    }

    private void serve(HttpServerExchange exchange, byte[] body) {
        CallerAnswer answer = new CallerAnswer(exchange, metrics);
        try {
            exchange.startBlocking();
            pipeline.serve(CallerRequest.of(exchange, body), answer);
        } catch (RuntimeException e) {
            log.error("event=request-failed", e);
            answer.refuse(Refusal.of(ErrorKind.INTERNAL));
        } finally {
            exchange.endExchange();
        }
    }

    private void failed(HttpServerExchange exchange, IOException cause) {
        ErrorKind kind = cause instanceof RequestTooBigException ? ErrorKind.BODY_TOO_LARGE : ErrorKind.SENDER_TOO_SLOW;
        exchange.dispatch(() -> {
            exchange.startBlocking();
            new CallerAnswer(exchange, metrics).refuse(Refusal.of(kind));
            exchange.endExchange();
        });
    }
}
