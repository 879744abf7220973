package org.cuminspur.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
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
import java.util.concurrent.atomic.LongAdder;
import org.cuminspur.standin.Delays;
import org.cuminspur.testing.KeyValueTable;
import org.cuminspur.time.Clock;
import org.xnio.IoUtils;

/**
 * Stands in for the platform: key-value store, instance list and fault injection.
 *
 * <p>Thread-safe. Serves etcd v3's JSON gateway and Kubernetes' EndpointSlice list. Calls to the store are counted by
 * path; a watch counts as one call.
 */
public final class StandinPlatform implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int THREADS = 128;
    private static final long WATCH_POLL_MS = 50;

    private final Clock clock = Clock.system();
    private final KeyValueTable table = new KeyValueTable();
    private final PlatformFaults faults = new PlatformFaults();
    private final InstanceTable instances = new InstanceTable(clock, faults);
    private final Map<String, LongAdder> calls = new ConcurrentHashMap<>();
    private final Undertow server;

    public StandinPlatform(String host, int port) {
        EtcdHandlers etcd = new EtcdHandlers(table, faults, clock);
        RoutingHandler routes = new RoutingHandler()
                .post("/v3/kv/range", storeHandler(etcd::range))
                .post("/v3/kv/txn", storeHandler(etcd::txn))
                .post("/v3/lease/grant", storeHandler(etcd::grant))
                .post("/v3/lease/keepalive", storeHandler(etcd::keepAlive))
                .post("/v3/watch", storeHandler(etcd::watch))
                .get("/apis/discovery.k8s.io/v1/endpointslices", this::serveInstances)
                .put("/instances/{name}", exchange -> {
                    instances.put(parameter(exchange, "name"), JSON.readTree(exchange.getInputStream()));
                    send(exchange, JSON.createObjectNode());
                })
                .delete("/instances/{name}", exchange -> {
                    instances.remove(parameter(exchange, "name"));
                    send(exchange, JSON.createObjectNode());
                })
                .post("/faults", this::setFaults)
                .get("/calls", exchange -> send(exchange, callCounts()));
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

    public PlatformFaults faults() {
        return faults;
    }

    /** Returns the store's table. */
    public KeyValueTable table() {
        return table;
    }

    public InstanceTable instances() {
        return instances;
    }

    /** Returns the number of calls to a path of the store. */
    public long callCount(String path) {
        LongAdder count = calls.get(path);
        return count == null ? 0 : count.sum();
    }

    @Override
    public void close() {
        server.stop();
    }

    private void serveInstances(HttpServerExchange exchange) throws IOException {
        if (!exchange.getQueryParameters().containsKey("watch")) {
            send(exchange, instances.list());
            return;
        }
        long version = Long.parseLong(parameter(exchange, "resourceVersion"));
        exchange.getOutputStream().flush();
        while (true) {
            long visible = instances.visibleVersionNumber();
            for (JsonNode event : instances.events(version, visible)) {
                exchange.getOutputStream().write((event + "\n").getBytes(StandardCharsets.UTF_8));
            }
            exchange.getOutputStream().flush();
            version = visible;
            Delays.sleepMillis(WATCH_POLL_MS);
        }
    }

    private HttpHandler storeHandler(HttpHandler handler) {
        return exchange -> {
            calls.computeIfAbsent(exchange.getRequestPath(), key -> new LongAdder())
                    .increment();
            if (faults.outage()) {
                IoUtils.safeClose(exchange.getConnection());
                return;
            }
            Delays.sleepMillis(faults.delayMillis());
            handler.handleRequest(exchange);
        };
    }

    private void setFaults(HttpServerExchange exchange) throws IOException {
        JsonNode request = JSON.readTree(exchange.getInputStream());
        if (request.has("outage")) {
            faults.outage(request.path("outage").asBoolean());
        }
        if (request.has("delay_ms")) {
            faults.delayMillis(request.path("delay_ms").asLong());
        }
        if (request.has("list_lag_ms")) {
            faults.listLagMillis(request.path("list_lag_ms").asLong());
        }
        if (request.has("hold_replies")) {
            faults.replyGate().closed(request.path("hold_replies").asBoolean());
        }
        if (request.has("lose_replies")) {
            faults.loseReplies(request.path("lose_replies").asInt());
        }
        send(exchange, JSON.createObjectNode());
    }

    private JsonNode callCounts() {
        ObjectNode node = JSON.createObjectNode();
        new TreeMap<>(calls).forEach((path, count) -> node.put(path, count.sum()));
        return node;
    }

    private static String parameter(HttpServerExchange exchange, String name) {
        return exchange.getQueryParameters().get(name).getFirst();
    }

    static void send(HttpServerExchange exchange, JsonNode body) {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(body.toString());
    }
}
