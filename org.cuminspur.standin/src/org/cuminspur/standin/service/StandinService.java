package org.cuminspur.standin.service;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RoutingHandler;
import io.undertow.server.handlers.BlockingHandler;
import io.undertow.util.Headers;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.cuminspur.standin.Delays;
import org.cuminspur.standin.ThreadGate;
import org.xnio.IoUtils;

/**
 * Stands in for a plain service and counts the executions of each idempotency key.
 *
 * <p>Thread-safe. It does not reject repeated keys, since that is the routers' responsibility.
 */
public final class StandinService implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int THREADS = 64;

    private final String name;
    private final Map<String, AtomicInteger> executions = new ConcurrentHashMap<>();
    private final ThreadGate answerGate = new ThreadGate();
    private final AtomicBoolean breakNextConnection = new AtomicBoolean();
    private final AtomicInteger totalExecutions = new AtomicInteger();
    private volatile long delayMillis;
    private final Undertow server;

    public StandinService(String host, int port, String name) {
        this.name = name;
        RoutingHandler control = new RoutingHandler()
                .post("/faults", this::setFaults)
                .get("/executions", this::sendExecutions)
                .get("/await/{key}", this::awaitExecution)
                .setFallbackHandler(this::execute);
        server = Undertow.builder()
                .addHttpListener(port, host)
                .setIoThreads(2)
                .setWorkerThreads(THREADS)
                .setHandler(new BlockingHandler(control))
                .build();
        server.start();
    }

    public int port() {
        return ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
    }

    public int executionCount(String key) {
        AtomicInteger count = executions.get(key);
        return count == null ? 0 : count.get();
    }

    /** Delays every answer. */
    public void delayAnswers(long millis) {
        delayMillis = millis;
    }

    /** Closes the connection of the next request after its execution, without an answer. */
    public void breakNextConnection() {
        breakNextConnection.set(true);
    }

    @Override
    public void close() {
        server.stop();
    }

    private void execute(HttpServerExchange exchange) throws IOException {
        String body = new String(exchange.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        String key = exchange.getRequestHeaders().getFirst("Idempotency-Key");
        int count = key == null
                ? 0
                : executions.computeIfAbsent(key, absent -> new AtomicInteger()).incrementAndGet();
        signalExecution(key);
        answerGate.awaitOpen();
        Delays.sleepMillis(delayMillis);
        // A probe has no key and is not an execution.
        if (key != null && breakNextConnection.compareAndSet(true, false)) {
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        ObjectNode answer = JSON.createObjectNode()
                .put("service", name)
                .put("method", exchange.getRequestMethod().toString())
                .put("path", exchange.getRequestPath())
                .put("body", body)
                .put("execution", count)
                .put("number", totalExecutions.incrementAndGet());
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(answer.toString());
    }

    private void signalExecution(String key) {
        if (key != null) {
            synchronized (executions) {
                executions.notifyAll();
            }
        }
    }

    private void awaitExecution(HttpServerExchange exchange) throws InterruptedException {
        String key = exchange.getQueryParameters().get("key").getFirst();
        synchronized (executions) {
            while (executionCount(key) == 0) {
                executions.wait();
            }
        }
        exchange.getResponseSender().send("executed\n");
    }

    private void sendExecutions(HttpServerExchange exchange) {
        ObjectNode node = JSON.createObjectNode();
        new TreeMap<>(executions).forEach((key, count) -> node.put(key, count.get()));
        exchange.getResponseSender().send(node.toString());
    }

    private void setFaults(HttpServerExchange exchange) throws IOException {
        JsonNode request = JSON.readTree(exchange.getInputStream());
        if (request.has("delay_ms")) {
            delayAnswers(request.path("delay_ms").asLong());
        }
        if (request.has("hold")) {
            answerGate.closed(request.path("hold").asBoolean());
        }
        if (request.path("break_next").asBoolean()) {
            breakNextConnection();
        }
        exchange.getResponseSender().send("ok\n");
    }
}
