package org.cuminspur.router.internal.caller;

import com.codahale.metrics.MetricRegistry;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.util.Optional;
import org.cuminspur.errors.ErrorKind;
import org.cuminspur.errors.Refusal;
import org.cuminspur.http.client.Cancellation;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Receives a request without a thread of its own, then hands it to the pipeline on a worker thread.
 *
 * <p>Thread-safe. A request that breaks a limit, or comes after the stop, is refused before it takes a worker thread.
 */
final class CallerHandler implements HttpHandler {
    private static final Logger log = LoggerFactory.getLogger(CallerHandler.class);

    private final RequestPipeline pipeline;
    private final MetricRegistry metrics;
    private final InFlightRequests gate;
    private final HeadLimits limits;
    private final long bodyTimeoutMillis;

    CallerHandler(
            RequestPipeline pipeline,
            MetricRegistry metrics,
            InFlightRequests gate,
            HeadLimits limits,
            long bodyTimeoutMillis) {
        this.pipeline = pipeline;
        this.metrics = metrics;
        this.gate = gate;
        this.limits = limits;
        this.bodyTimeoutMillis = bodyTimeoutMillis;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        if (!gate.tryStart()) {
            EarlyRefusal.send(exchange, Refusal.of(ErrorKind.STOPPING), metrics);
            return;
        }
        exchange.addExchangeCompleteListener((ended, next) -> {
            gate.finish();
            next.proceed();
        });
        Optional<Refusal> refusal = limits.check(exchange);
        if (refusal.isPresent()) {
            EarlyRefusal.send(exchange, refusal.get(), metrics);
        } else {
            new BodyReceiver(
                            exchange,
                            () -> lost(exchange),
                            kind -> EarlyRefusal.send(exchange, Refusal.of(kind), metrics),
                            this::received)
                    .start(bodyTimeoutMillis);
        }
    }

    private void lost(HttpServerExchange exchange) {
        metrics.counter("callers.gone").inc();
        EarlyRefusal.close(exchange);
    }

    private void received(HttpServerExchange exchange, byte[] body) {
        exchange.dispatch(() -> serve(exchange, body));
    }

    private void serve(HttpServerExchange exchange, byte[] body) {
        Cancellation gone = new Cancellation();
        CallerAnswer answer = new CallerAnswer(exchange, metrics, gone);
        exchange.startBlocking();
        if (gate.draining()) {
            exchange.setPersistent(false);
        }
        try (CallerDisconnectMonitor watch = CallerDisconnectMonitor.start(exchange, gone)) {
            gone.onCancel(() -> metrics.counter("callers.gone").inc());
            pipeline.serve(CallerRequest.of(exchange, body), answer);
        } catch (RuntimeException e) {
            log.error("event=request-failed", e);
            answer.refuse(Refusal.of(ErrorKind.INTERNAL));
        } finally {
            exchange.endExchange();
            answer.close();
        }
    }
}
