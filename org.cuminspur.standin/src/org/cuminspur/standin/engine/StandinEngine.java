package org.cuminspur.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RoutingHandler;
import io.undertow.server.handlers.BlockingHandler;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import org.cuminspur.standin.Delays;
import org.cuminspur.time.Clock;
import org.xnio.IoUtils;

/**
 * Stands in for a model engine: chat completions, streamed or in one piece.
 *
 * <p>Thread-safe. The answer's tokens are derived from the last message, so that a caller can verify that the answer is
 * its own. A request with {@code Last-Event-ID} resumes after that token.
 */
public final class StandinEngine implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int THREADS = 256;
    private static final HttpString LOAD = new HttpString("endpoint-load-metrics");

    private final Clock clock = Clock.system();
    private final long startMillis = clock.millis();
    private final EngineSettings settings;
    private final PrefixCache cache;
    private final Semaphore slots;
    private final AtomicInteger inProgress = new AtomicInteger();
    private final DelayedValue reportedLoad;
    private final LongAdder served = new LongAdder();
    private final LongAdder cancelled = new LongAdder();
    private final AtomicInteger maxInProgressWhileCold = new AtomicInteger();
    private final AtomicInteger cutAfterTokens = new AtomicInteger(Integer.MAX_VALUE);
    private volatile boolean failed;
    private final Undertow server;

    public StandinEngine(String host, int port, EngineSettings settings) {
        this.settings = settings;
        this.cache = new PrefixCache(settings.cacheTokens());
        this.slots = new Semaphore(settings.slots(), true);
        this.reportedLoad = new DelayedValue(clock, settings.reportLagMillis());
        RoutingHandler routes = new RoutingHandler()
                .post("/v1/chat/completions", this::complete)
                .get("/load", exchange -> {
                    addLoadHeader(exchange);
                    exchange.getResponseSender().send("ok\n");
                })
                .post("/faults", this::setFaults)
                .get("/counts", exchange -> exchange.getResponseSender().send(counts().toString()));
        server = Undertow.builder()
                .addHttpListener(port, host)
                .setIoThreads(2)
                .setWorkerThreads(THREADS)
                .setHandler(new BlockingHandler(routes))
                .build();
        server.start();
    }

    public int port() {
        return ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
    }

    /** Returns the start time, in milliseconds since the epoch. */
    public long incarnation() {
        return startMillis;
    }

    /** Closes the connection of the next stream after a number of tokens. */
    public void cutNextStreamAfter(int tokens) {
        cutAfterTokens.set(tokens);
    }

    /** Returns the number of requests served completely. */
    public long servedCount() {
        return served.sum();
    }

    @Override
    public void close() {
        server.stop();
    }

    private void complete(HttpServerExchange exchange) throws IOException, InterruptedException {
        int concurrent = inProgress.incrementAndGet();
        reportedLoad.set(concurrent);
        try {
            if (isCold()) {
                maxInProgressWhileCold.accumulateAndGet(concurrent, Math::max);
                failed |= concurrent > settings.coldSlots();
            }
            if (failed) {
                exchange.setStatusCode(503);
                return;
            }
            slots.acquire();
            try {
                generate(exchange, JSON.readTree(exchange.getInputStream()));
            } finally {
                slots.release();
            }
        } finally {
            reportedLoad.set(inProgress.decrementAndGet());
        }
    }

    private void generate(HttpServerExchange exchange, JsonNode request) throws IOException {
        List<String> messages = new ArrayList<>();
        request.path("messages").forEach(message -> messages.add(message.toString()));
        int promptTokens = messages.stream().mapToInt(PrefixCache::tokens).sum();
        int cachedTokens = cache.cachedTokens(messages);
        Delays.sleepMillis((promptTokens - cachedTokens) * settings.promptTokenMicros() / 1_000);
        int count = Math.min(request.path("max_tokens").asInt(settings.answerTokens()), settings.answerTokens());
        AnswerTokens tokens = new AnswerTokens(request, count, promptTokens, cachedTokens);
        addLoadHeader(exchange);
        if (request.path("stream").asBoolean()) {
            stream(exchange, tokens);
        } else {
            Delays.sleepMillis(count * settings.answerTokenMillis());
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
            exchange.getResponseSender().send(tokens.completion().toString());
            served.increment();
        }
    }

    private void stream(HttpServerExchange exchange, AnswerTokens tokens) throws IOException {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
        String last = exchange.getRequestHeaders().getFirst("Last-Event-ID");
        int cut = cutAfterTokens.getAndSet(Integer.MAX_VALUE);
        try {
            for (int i = tokens.firstPosition(last); i < tokens.count(); i++) {
                if (i >= cut) {
                    IoUtils.safeClose(exchange.getConnection());
                    return;
                }
                Delays.sleepMillis(settings.answerTokenMillis());
                exchange.getOutputStream().write(tokens.chunkEvent(i));
                exchange.getOutputStream().flush();
            }
            exchange.getOutputStream().write(tokens.endEvents());
            served.increment();
        } catch (IOException e) {
            cancelled.increment();
            throw e;
        }
    }

    private boolean isCold() {
        return clock.millis() - startMillis < settings.coldMillis();
    }

    private void addLoadHeader(HttpServerExchange exchange) {
        ObjectNode load = JSON.createObjectNode();
        load.putObject("named_metrics")
                .put("in_progress", reportedLoad.value())
                .put("slots", settings.slots())
                .put("incarnation", startMillis);
        exchange.getResponseHeaders().put(LOAD, "JSON " + load);
    }

    private void setFaults(HttpServerExchange exchange) throws IOException {
        JsonNode request = JSON.readTree(exchange.getInputStream());
        if (request.has("cut_after")) {
            cutNextStreamAfter(request.path("cut_after").asInt());
        }
        exchange.getResponseSender().send("ok\n");
    }

    private ObjectNode counts() {
        return JSON.createObjectNode()
                .put("served", served.sum())
                .put("cancelled", cancelled.sum())
                .put("in_progress", inProgress.get())
                .put("most_while_cold", maxInProgressWhileCold.get())
                .put("fallen", failed);
    }
}
