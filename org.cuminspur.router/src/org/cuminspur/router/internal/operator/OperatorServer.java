package org.cuminspur.router.internal.operator;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RoutingHandler;
import io.undertow.server.handlers.BlockingHandler;
import io.undertow.util.Headers;
import io.vavr.control.Option;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Deque;
import java.util.stream.Stream;
import org.cuminspur.control.ControlInput;
import org.cuminspur.control.Order;
import org.cuminspur.control.Target;
import org.cuminspur.router.RouterSettings;
import org.cuminspur.router.internal.control.ControlLoop;
import org.cuminspur.slo.BurnRecorder;
import org.cuminspur.slo.BurnReportCodec;
import org.cuminspur.slo.BurnWindow;

/**
 * HTTP server for operators, the load balancer and monitoring; thread-safe.
 *
 * <p>Liveness and readiness need no key; all other paths need the operators' key.
 */
public final class OperatorServer {
    private static final String BEARER = "Bearer ";

    private final Undertow server;
    private final ControlLoop control;
    private final byte[] key;

    public OperatorServer(RouterSettings settings, ControlLoop control, MetricRegistry metrics, BurnRecorder burn) {
        this.control = control;
        this.key = settings.operators().key().getBytes(StandardCharsets.UTF_8);
        Stream.of(BurnWindow.values())
                .forEach(window -> metrics.register(
                        "slo.alarms." + window.longLabel(), (Gauge<Long>) () -> burn.alarmCount(window)));
        RoutingHandler routes = new RoutingHandler()
                .get("/live", exchange -> send(exchange, 200, "text/plain", "live\n"))
                .get("/ready", this::sendReadiness)
                .get("/status", requireKey(exchange -> sendJson(exchange, StatusJson.encode(control))))
                .get(
                        "/slo",
                        requireKey(exchange -> sendJson(
                                exchange, BurnReportCodec.encode(burn.report()).toString())))
                .get(
                        "/metrics",
                        requireKey(exchange ->
                                send(exchange, 200, "text/plain; version=0.0.4", PrometheusText.format(metrics))))
                .post("/orders", requireKey(this::acceptOrder));
        server = Undertow.builder()
                .addHttpListener(settings.operators().port(), settings.host())
                .setIoThreads(1)
                .setWorkerThreads(4)
                .setHandler(new BlockingHandler(routes))
                .build();
    }

    public void start() {
        server.start();
    }

    /** Returns the port that operators connect to. */
    public int port() {
        return ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
    }

    public void stop() {
        server.stop();
    }

    private void sendReadiness(HttpServerExchange exchange) {
        boolean ready = control.snapshot().ready();
        send(exchange, ready ? 200 : 503, "text/plain", ready ? "ready\n" : "not ready\n");
    }

    private void acceptOrder(HttpServerExchange exchange) {
        Option<Target> target = Target.parse(parameter(exchange, "target"));
        String state = parameter(exchange, "state");
        if (target.isEmpty() || !(state.equals("out") || state.equals("in"))) {
            send(exchange, 400, "text/plain", "expected target=domain/NAME or upstream/NAME and state=out or in\n");
            return;
        }
        String by = parameter(exchange, "by");
        control.post(
                new ControlInput.OrderSubmitted(target.get(), state.equals("out"), by.isBlank() ? "operator" : by));
        Order order =
                control.read(controlState -> controlState.order(target.get())).get();
        send(exchange, 202, "application/json", "{\"generation\":" + order.generation() + "}\n");
    }

    private HttpHandler requireKey(HttpHandler handler) {
        return exchange -> {
            if (hasKey(exchange)) {
                handler.handleRequest(exchange);
            } else {
                send(exchange, 401, "text/plain", "the operators' key is needed\n");
            }
        };
    }

    private boolean hasKey(HttpServerExchange exchange) {
        String given = exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION);
        if (given == null || !given.startsWith(BEARER)) {
            return false;
        }
        return MessageDigest.isEqual(key, given.substring(BEARER.length()).getBytes(StandardCharsets.UTF_8));
    }

    private static String parameter(HttpServerExchange exchange, String name) {
        Deque<String> values = exchange.getQueryParameters().get(name);
        return values == null ? "" : values.getFirst();
    }

    private static void sendJson(HttpServerExchange exchange, String body) {
        send(exchange, 200, "application/json", body);
    }

    private static void send(HttpServerExchange exchange, int status, String type, String body) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, type);
        exchange.getResponseSender().send(body);
    }
}
