package org.cuminspur.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.cuminspur.store.StoreEntry;
import org.cuminspur.store.StoreLease;
import org.cuminspur.store.StoreRevision;
import org.cuminspur.store.StoreView;
import org.cuminspur.store.Txn;
import org.cuminspur.store.TxnResult;
import org.cuminspur.testing.KeyValueTable;
import org.cuminspur.time.Clock;
import org.xnio.IoUtils;

/** Handlers of etcd v3's JSON gateway over an in-memory table; thread-safe. */
final class EtcdHandlers {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long WATCH_POLL_MS = 50;

    private final KeyValueTable table;
    private final PlatformFaults faults;
    private final Clock clock;

    EtcdHandlers(KeyValueTable table, PlatformFaults faults, Clock clock) {
        this.table = table;
        this.faults = faults;
        this.clock = clock;
    }

    void range(HttpServerExchange exchange) throws IOException {
        table.expireLeases(clock.millis());
        JsonNode request = readBody(exchange);
        StoreView view = table.range(decode(request, "key"), decode(request, "range_end"));
        faults.replyGate().awaitOpen();
        ObjectNode reply = header(view.revision().number());
        ArrayNode kvs = reply.putArray("kvs");
        view.entries().forEach(entry -> kvs.add(kv(entry)));
        StandinPlatform.send(exchange, reply);
    }

    void txn(HttpServerExchange exchange) throws IOException {
        table.expireLeases(clock.millis());
        TxnResult result = table.commit(txn(readBody(exchange)));
        faults.replyGate().awaitOpen();
        if (faults.takeReplyLoss()) {
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        StandinPlatform.send(exchange, header(result.revision().number()).put("succeeded", result.succeeded()));
    }

    void grant(HttpServerExchange exchange) throws IOException {
        long ttl = readBody(exchange).path("TTL").asLong();
        String id = Long.toString(table.grantLease(ttl, clock.millis()).id());
        StandinPlatform.send(exchange, JSON.createObjectNode().put("ID", id).put("TTL", Long.toString(ttl)));
    }

    void keepAlive(HttpServerExchange exchange) throws IOException {
        long id = readBody(exchange).path("ID").asLong();
        long remaining = table.keepAlive(id, clock.millis());
        ObjectNode reply = JSON.createObjectNode();
        reply.putObject("result").put("ID", Long.toString(id)).put("TTL", Long.toString(remaining));
        StandinPlatform.send(exchange, reply);
    }

    void watch(HttpServerExchange exchange) throws IOException {
        JsonNode request = readBody(exchange).path("create_request");
        String from = decode(request, "key");
        String end = decode(request, "range_end");
        BlockingQueue<List<StoreEntry>> queue = new LinkedBlockingQueue<>();
        BiConsumer<StoreRevision, List<StoreEntry>> listener = (revision, changes) -> queue.add(changes);
        queue.add(table.addListener(
                StoreRevision.withoutEra(request.path("start_revision").asLong(1) - 1), listener));
        try {
            writeLine(exchange, watchEvents(List.of()).put("created", true));
            while (!faults.outage()) {
                List<StoreEntry> changes = queue.poll(WATCH_POLL_MS, TimeUnit.MILLISECONDS);
                List<StoreEntry> matching = changes == null ? List.of() : inRange(changes, from, end);
                if (!matching.isEmpty()) {
                    writeLine(exchange, watchEvents(matching));
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            table.removeListener(listener);
            IoUtils.safeClose(exchange.getConnection());
        }
    }

    private static List<StoreEntry> inRange(List<StoreEntry> changes, String from, String end) {
        return changes.stream()
                .filter(entry -> entry.key().compareTo(from) >= 0 && entry.key().compareTo(end) < 0)
                .toList();
    }

    private static ObjectNode watchEvents(List<StoreEntry> changes) {
        long revision = changes.stream()
                .mapToLong(entry -> entry.modRevision().number())
                .max()
                .orElse(0);
        ObjectNode result = header(revision);
        ArrayNode events = result.putArray("events");
        changes.forEach(entry -> events.addObject()
                .put("type", entry.value().isEmpty() ? "DELETE" : "PUT")
                .set("kv", kv(entry)));
        return result;
    }

    private static void writeLine(HttpServerExchange exchange, ObjectNode result) throws IOException {
        ObjectNode root = JSON.createObjectNode();
        root.set("result", result);
        exchange.getOutputStream().write((root + "\n").getBytes(StandardCharsets.UTF_8));
        exchange.getOutputStream().flush();
    }

    private static Txn txn(JsonNode request) {
        List<Txn.Compare> compares = new ArrayList<>();
        request.path("compare")
                .forEach(node -> compares.add(new Txn.Compare(
                        decode(node, "key"),
                        StoreRevision.withoutEra(node.path("mod_revision").asLong()))));
        List<Txn.Put> puts = new ArrayList<>();
        List<String> deletes = new ArrayList<>();
        for (JsonNode node : request.path("success")) {
            JsonNode put = node.path("request_put");
            if (put.isObject()) {
                puts.add(new Txn.Put(
                        decode(put, "key"),
                        decode(put, "value"),
                        StoreLease.withoutEra(put.path("lease").asLong())));
            } else {
                deletes.add(decode(node.path("request_delete_range"), "key"));
            }
        }
        return new Txn(compares, puts, deletes);
    }

    private static ObjectNode header(long revision) {
        ObjectNode reply = JSON.createObjectNode();
        reply.putObject("header").put("revision", Long.toString(revision));
        return reply;
    }

    private static ObjectNode kv(StoreEntry entry) {
        return JSON.createObjectNode()
                .put("key", encode(entry.key()))
                .put("value", encode(entry.value()))
                .put("mod_revision", Long.toString(entry.modRevision().number()));
    }

    private static JsonNode readBody(HttpServerExchange exchange) throws IOException {
        return JSON.readTree(exchange.getInputStream());
    }

    private static String decode(JsonNode node, String field) {
        return new String(Base64.getDecoder().decode(node.path(field).asText("")), StandardCharsets.UTF_8);
    }

    private static String encode(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }
}
