package org.cuminspur.platform;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.cuminspur.standin.Delays;
import org.cuminspur.standin.raw.RawUpstream.Connection;
import org.cuminspur.standin.users.OperatorConfigBuilder;
import org.cuminspur.standin.users.StandinCaller;
import org.cuminspur.standin.users.StandinServer;
import org.cuminspur.standin.users.StandinStore;

/**
 * Several instances before servers that crash as they begin to answer a request with one part in its prompt, or repeats of
 * one request, and that are back under another id a moment later; thread-safe.
 */
final class CrashingServers implements AutoCloseable {
    /** First digits of the parts that crash servers. */
    static final String CRASHING_PARTS = "bad";

    /** Path of streams whose servers send the head as they begin to run the request. */
    static final String EARLY_HEAD_PATH = "/chat/early";

    /** Path of streams whose servers send the head with the first event. */
    static final String LATE_HEAD_PATH = "/chat/late";

    /** Last part of the paths of requests that crash servers, whatever their prompts. */
    static final String FATAL = "fatal";

    private static final String SERVICE = "model";
    private static final int EVENTS = 3;
    private static final long DOWN_MS = 700;
    private static final long LEASE_MS = 500;
    private static final long FIRST_EVENT_MS = 20;

    private final StandinStore store = new StandinStore();
    private final RouterFleet routers;
    private final List<StandinServer> servers = new CopyOnWriteArrayList<>();
    private final AtomicInteger started = new AtomicInteger();
    private final ScheduledExecutorService restarts = Executors.newSingleThreadScheduledExecutor();

    CrashingServers(int instances, int size) {
        store.put(
                StandinStore.CONFIG_KEY,
                new OperatorConfigBuilder()
                        .service(SERVICE, false)
                        .route("/chat/", "stream", SERVICE, 2, 6_000)
                        .route("/look/", "idempotent", SERVICE, 2, 3_000)
                        .route("/book/", "non_idempotent", SERVICE, 1, 3_000)
                        .account("account", "key")
                        .nextVersion());
        IntStream.range(0, size).forEach(i -> startServer());
        routers = new RouterFleet(store, instances);
    }

    /** Returns how many requests with a crashing part have reached servers. */
    long crashingSends(String part) {
        return servers.stream()
                .flatMap(server -> server.executedRequests().stream())
                .filter(request -> request.header("Prompt-Prefix").contains(part))
                .count();
    }

    /** Returns how many requests to a path have reached servers. */
    long sends(String path) {
        return servers.stream()
                .flatMap(server -> server.executedRequests().stream())
                .filter(request -> request.path().equals(path))
                .count();
    }

    /** Sends a request without a prompt; returns the status, 0 if the answer is not complete. */
    int call(int instance, String path, String id) {
        try (StandinCaller caller = new StandinCaller(routers.port(instance))) {
            caller.post(path, id, "");
            return caller.readAnswer().status();
        } catch (IOException e) {
            // The answer was cut, or there was none.
            return 0;
        }
    }

    /** Sends a stream with a prompt of these shared parts; returns the status, 0 if the answer is not complete. */
    int call(int instance, String path, String id, String sharedParts) {
        try (StandinCaller caller = new StandinCaller(routers.port(instance))) {
            caller.post(path, id, "Prompt-Prefix: " + sharedParts + ",e0:10\r\nToken-Usage: 910,20\r\n");
            return caller.readAnswer().status();
        } catch (IOException e) {
            // The answer was cut, or there was none.
            return 0;
        }
    }

    /** Starts another instance, waits until the others can know it, and returns its number. */
    int startInstance() {
        return routers.start();
    }

    @Override
    public void close() {
        restarts.shutdownNow();
        routers.close();
        servers.forEach(StandinServer::close);
        store.close();
    }

    private void startServer() {
        String id = "server-" + started.getAndIncrement();
        StandinServer[] self = new StandinServer[1];
        self[0] = new StandinServer(id, (connection, request) -> answer(self[0], id, connection, request));
        servers.add(self[0]);
        store.put(
                StandinStore.SERVERS_PREFIX + id,
                OperatorConfigBuilder.serverEntry(SERVICE, "v1", self[0].port(), "a", "ready", 0));
    }

    private boolean answer(StandinServer self, String id, Connection connection, StandinServer.Request request)
            throws IOException {
        boolean early = request.path().equals(EARLY_HEAD_PATH);
        boolean stream = request.path().startsWith("/chat/");
        String head = StandinServer.answerHead(
                200, request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
        connection.send(early ? head : "");
        Delays.sleepMillis(FIRST_EVENT_MS);
        if (request.header("Prompt-Prefix").contains(CRASHING_PARTS)
                || request.path().endsWith(FATAL)) {
            crash(self, id);
            return false;
        }
        if (!stream) {
            return StandinServer.plainAnswer("done").answer(connection, request);
        }
        connection.send(early ? "" : head);
        for (int event = request.lastEventId() + 1; event <= EVENTS; event++) {
            StandinServer.sendChunk(connection, StandinServer.eventText(event));
        }
        connection.send("0\r\n\r\n");
        return true;
    }

    private void crash(StandinServer server, String id) {
        server.crash();
        restarts.schedule(() -> store.remove(StandinStore.SERVERS_PREFIX + id), LEASE_MS, TimeUnit.MILLISECONDS);
        restarts.schedule(this::startServer, DOWN_MS, TimeUnit.MILLISECONDS);
    }
}
