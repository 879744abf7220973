package org.cuminspur.standin.users;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.BlockingHandler;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BinaryOperator;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;
import org.cuminspur.store.StoreEntry;
import org.cuminspur.store.StoreLease;
import org.cuminspur.store.StoreRevision;
import org.cuminspur.store.StoreView;
import org.cuminspur.store.Txn;
import org.cuminspur.store.TxnResult;
import org.cuminspur.testing.KeyValueTable;
import org.cuminspur.time.Clock;

/**
 * Stands in for the deployment platform's store; thread-safe.
 *
 * <p>Implements the documented protocol of that store, with one worker thread per call, and injects faults. A store with
 * eras can come back from a copy; all its answers then state the era.
 */
public final class StandinStore implements AutoCloseable {
    /** Key of the operators' configuration. */
    public static final String CONFIG_KEY = "op/config";

    /** Prefix of the keys of upstream entries. */
    public static final String SERVERS_PREFIX = "servers/";

    /** Prefix of the keys of failure domains that get no new work. */
    public static final String DRAINED_DOMAINS_PREFIX = "op/evacuate/";

    private static final HttpString STORE_ERA = new HttpString("Store-Era");
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int WORKERS = 64;
    private static final long POLL_MS = 5;
    private static final long SECOND_MS = 1_000;
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int HISTORY_COMPACTED = 410;
    private static final int PRECONDITION_FAILED = 412;
    private static final int UNAVAILABLE = 503;

    private final KeyValueTable table;
    private final StandinStoreFaults faults = new StandinStoreFaults();
    private final Clock clock = Clock.system();
    private final AtomicLong calls = new AtomicLong();
    private final Undertow server;
    private final List<Undertow> viewServers = new CopyOnWriteArrayList<>();
    private volatile boolean closing;

    /** Starts a store without eras on a free port of the loopback address. */
    public StandinStore() {
        this(0);
    }

    /** Starts a store in an era on a free port of the loopback address. */
    public StandinStore(long era) {
        table = new KeyValueTable(era);
        server = listen((key, value) -> value);
    }

    public int port() {
        return port(server);
    }

    /**
     * Opens another port at which one instance sees the same store with other values.
     *
     * @param view returns the value to show by key and value; called on any thread
     */
    public int openView(BinaryOperator<String> view) {
        Undertow viewServer = listen(view);
        viewServers.add(viewServer);
        return port(viewServer);
    }

    private Undertow listen(BinaryOperator<String> view) {
        Undertow listener = Undertow.builder()
                .addHttpListener(0, "127.0.0.1")
                .setIoThreads(1)
                .setWorkerThreads(WORKERS)
                .setHandler(new BlockingHandler(exchange -> serve(exchange, view)))
                .build();
        listener.start();
        return listener;
    }

    private static int port(Undertow listener) {
        return ((InetSocketAddress) listener.getListenerInfo().get(0).getAddress()).getPort();
    }

    public StandinStoreFaults faults() {
        return faults;
    }

    /** Writes a key, as operators and servers do; returns the revision. */
    public StoreRevision put(String key, String value) {
        return table.commit(new Txn(List.of(), List.of(Txn.Put.of(key, value)), List.of()))
                .revision();
    }

    public void remove(String key) {
        table.commit(new Txn(List.of(), List.of(), List.of(key)));
    }

    /** Returns the revision of the last change. */
    public StoreRevision revision() {
        return table.revision();
    }

    /** Returns a copy of the present state. */
    public KeyValueTable.Copy copy() {
        return table.copy();
    }

    /** Comes back from a copy: what was acknowledged since is lost, and the next era begins. */
    public void restore(KeyValueTable.Copy copy) {
        table.restore(copy);
    }

    /** Returns the number of calls answered or refused since the start. */
    public long calls() {
        return calls.get();
    }

    /** Returns all keys. */
    public Set<String> keys() {
        return range("").entries().stream().map(StoreEntry::key).collect(Collectors.toSet());
    }

    /** Returns the value of a key, empty if it does not exist. */
    public String value(String key) {
        return range(key).entries().stream()
                .filter(entry -> entry.key().equals(key))
                .map(StoreEntry::value)
                .findFirst()
                .orElse("");
    }

    /** Returns the number of keys with a prefix. */
    public int count(String prefix) {
        table.expireLeases(clock.millis());
        return range(prefix).entries().size();
    }

    @Override
    public void close() {
        closing = true;
        viewServers.forEach(Undertow::stop);
        server.stop();
    }

    private void serve(HttpServerExchange exchange, BinaryOperator<String> view)
            throws IOException, InterruptedException {
        calls.incrementAndGet();
        TimeUnit.MILLISECONDS.sleep(faults.delayMillis());
        if (faults.mode() != StandinStoreFaults.Mode.UP) {
            refuse(exchange);
            return;
        }
        table.expireLeases(clock.millis());
        String path = exchange.getRequestPath();
        if (path.equals("/kv-range")) {
            answer(exchange, OK, page(range(query(exchange, "prefix")), view));
        } else if (path.equals("/kv-watch")) {
            watch(exchange, view);
        } else if (path.equals("/kv-txn")) {
            commit(exchange);
        } else if (path.equals("/kv-lease")) {
            long ttlMillis = body(exchange).path("ttl_ms").asLong();
            long lease = table.grantLease(ttlMillis / SECOND_MS, clock.millis()).id();
            answer(exchange, OK, JSON.createObjectNode().put("lease", lease).put("ttl_ms", ttlMillis));
        } else if (path.startsWith("/kv-keep/")) {
            long left = table.keepAlive(Long.parseLong(path.substring("/kv-keep/".length())), clock.millis());
            answer(exchange, left > 0 ? OK : NOT_FOUND, JSON.createObjectNode().put("ttl_ms", left * SECOND_MS));
        } else {
            answer(exchange, NOT_FOUND, JSON.createObjectNode());
        }
    }

    private void refuse(HttpServerExchange exchange) throws InterruptedException, IOException {
        while (faults.mode() == StandinStoreFaults.Mode.SILENT) {
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
        }
        answer(exchange, UNAVAILABLE, JSON.createObjectNode());
    }

    private void watch(HttpServerExchange exchange, BinaryOperator<String> view)
            throws IOException, InterruptedException {
        String prefix = query(exchange, "prefix");
        StoreRevision afterRevision = StoreRevision.withoutEra(Long.parseLong(query(exchange, "after")));
        long deadlineMillis = clock.millis() + Long.parseLong(query(exchange, "wait_ms"));
        List<StoreEntry> events = new ArrayList<>();
        long era = revision().era();
        do {
            if (revision().era() != era) {
                exchange.getConnection().close();
                return;
            } else if (afterRevision.number() > revision().number()) {
                answer(exchange, HISTORY_COMPACTED, JSON.createObjectNode());
                return;
            } else if (afterRevision.number() < faults.compactedRevision()) {
                answer(exchange, HISTORY_COMPACTED, JSON.createObjectNode());
                return;
            } else if (faults.mode() != StandinStoreFaults.Mode.UP) {
                refuse(exchange);
                return;
            }
            events.addAll(faults.silentWatches() ? List.of() : changesAfter(prefix, afterRevision));
            TimeUnit.MILLISECONDS.sleep(events.isEmpty() ? POLL_MS : 0);
        } while (events.isEmpty() && clock.millis() < deadlineMillis && !closing);
        if (closing) {
            exchange.getConnection().close();
            return;
        }
        // The real store reports its revision even if the watch missed changes up to it.
        long asOf = revision().number();
        ObjectNode reply = JSON.createObjectNode().put("as_of", asOf);
        ArrayNode rows = reply.putArray("events");
        events.forEach(event -> fillRow(rows.addObject(), event, view));
        answer(exchange, OK, reply);
    }

    private List<StoreEntry> changesAfter(String prefix, StoreRevision after) {
        return table.changesAfter(after).stream()
                .filter(entry -> entry.key().startsWith(prefix))
                .toList();
    }

    private void commit(HttpServerExchange exchange) throws IOException {
        JsonNode body = body(exchange);
        Txn txn = new Txn(
                StreamSupport.stream(body.path("expected_rev").spliterator(), false)
                        .map(row -> new Txn.Compare(
                                row.path("key").asText(),
                                StoreRevision.withoutEra(row.path("revision").asLong())))
                        .toList(),
                StreamSupport.stream(body.path("writes").spliterator(), false)
                        .map(row -> new Txn.Put(
                                row.path("key").asText(),
                                new String(
                                        Base64.getDecoder()
                                                .decode(row.path("value").asText()),
                                        StandardCharsets.UTF_8),
                                StoreLease.withoutEra(row.path("lease").asLong())))
                        .toList(),
                StreamSupport.stream(body.path("remove").spliterator(), false)
                        .map(JsonNode::asText)
                        .toList());
        TxnResult result = table.commit(txn);
        if (faults.takeReplyLoss()) {
            exchange.getConnection().close();
            return;
        }
        answer(
                exchange,
                result.succeeded() ? OK : PRECONDITION_FAILED,
                JSON.createObjectNode().put("revision", result.revision().number()));
    }

    private StoreView range(String prefix) {
        return table.range(prefix, prefix + Character.MAX_VALUE);
    }

    private static ObjectNode page(StoreView entries, BinaryOperator<String> view) {
        ObjectNode page = JSON.createObjectNode()
                .put("more_pages", false)
                .put("as_of", entries.revision().number());
        ArrayNode items = page.putArray("items");
        entries.entries().forEach(entry -> fillRow(items.addObject(), entry, view));
        return page;
    }

    private static void fillRow(ObjectNode row, StoreEntry entry, BinaryOperator<String> view) {
        row.put("key", entry.key()).put("revision", entry.modRevision().number());
        if (entry.value().isEmpty()) {
            row.put("removed", true);
        } else {
            row.put(
                    "value",
                    Base64.getEncoder()
                            .encodeToString(
                                    view.apply(entry.key(), entry.value()).getBytes(StandardCharsets.UTF_8)));
        }
    }

    private static String query(HttpServerExchange exchange, String name) {
        Deque<String> values = exchange.getQueryParameters().get(name);
        return values == null ? "" : values.getFirst();
    }

    private static JsonNode body(HttpServerExchange exchange) throws IOException {
        return JSON.readTree(exchange.getInputStream());
    }

    private void answer(HttpServerExchange exchange, int status, ObjectNode body) {
        if (!exchange.getConnection().isOpen() || exchange.isResponseStarted()) {
            return;
        }
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        long era = revision().era();
        if (era > 0) {
            exchange.getResponseHeaders().put(STORE_ERA, era);
        }
        exchange.getResponseSender().send(body.toString());
    }
}
