package org.cuminspur.router.internal.caller;

import com.codahale.metrics.MetricRegistry;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.util.Optional;
import org.cuminspur.errors.ErrorKind;
import org.cuminspur.errors.Refusal;
import org.cuminspur.http.client.Cancellation;
import org.cuminspur.traffic.BodyBudget;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Receives requests on I/O threads, then passes them to the pipeline on a worker thread.
 *
 * <p>Thread-safe. A request that exceeds a limit, or arrives while the server stops, is refused without occupying a
 * worker thread.
 */
final class CallerHandler implements HttpHandler {
    private static final Logger log = LoggerFactory.getLogger(CallerHandler.class);

    private final BodyBudget bodies = BodyBudget.ofHeap();
    private final RequestPipeline pipeline;
    private final MetricRegistry metrics;
    private final InFlightRequests inFlight;
    private final HeadLimits limits;
    private final long bodyTimeoutMillis;

    CallerHandler(
            RequestPipeline pipeline,
            MetricRegistry metrics,
            InFlightRequests inFlight,
            HeadLimits limits,
            long bodyTimeoutMillis) {
        this.pipeline = pipeline;
        this.metrics = metrics;
        this.inFlight = inFlight;
        this.limits = limits;
        this.bodyTimeoutMillis = bodyTimeoutMillis;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        if (!inFlight.tryStart()) {
            EarlyRefusal.send(exchange, Refusal.of(ErrorKind.STOPPING), metrics);
            return;
        }
        exchange.addExchangeCompleteListener((completed, next) -> {
            inFlight.finish();
            next.proceed();
        });
        Optional<Refusal> refusal = limits.check(exchange);
        if (refusal.isPresent()) {
            EarlyRefusal.send(exchange, refusal.get(), metrics);
        } else {
            new BodyReceiver(
                            exchange,
                            bodies,
                            () -> onDisconnect(exchange),
                            kind -> EarlyRefusal.send(exchange, Refusal.of(kind), metrics),
                            this::onReceived)
                    .start(bodyTimeoutMillis);
        }
    }

    private void onDisconnect(HttpServerExchange exchange) {
        metrics.counter("callers.gone").inc();
        EarlyRefusal.close(exchange);
    }

    private void onReceived(HttpServerExchange exchange, byte[] body) {
        exchange.dispatch(() -> serve(exchange, body));
    }

    private void serve(HttpServerExchange exchange, byte[] body) {
        Cancellation cancellation = new Cancellation();
        CallerAnswer answer = new CallerAnswer(exchange, metrics, cancellation);
        exchange.startBlocking();
        if (inFlight.draining()) {
            exchange.setPersistent(false);
        }
        try (CallerDisconnectMonitor monitor = CallerDisconnectMonitor.start(exchange, cancellation)) {
            cancellation.onCancel(() -> metrics.counter("callers.gone").inc());
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
