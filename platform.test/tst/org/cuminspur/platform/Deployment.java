package org.cuminspur.platform;

import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.cuminspur.router.TrafficRouter;
import org.cuminspur.router.TrafficSettings;
import org.cuminspur.router.TrafficSettingsParser;
import org.cuminspur.standin.FreePorts;
import org.cuminspur.standin.users.InstanceSettings;
import org.cuminspur.standin.users.OperatorConfigBuilder;
import org.cuminspur.standin.users.StandinCaller;
import org.cuminspur.standin.users.StandinServer;
import org.cuminspur.standin.users.StandinStore;

/**
 * One instance with a simulated platform: a store and two servers for each of two services.
 *
 * <p>Used by one thread. Streams sent to {@code /chat/} may be resumed, those sent to {@code /draft/} may not; plain
 * requests to {@code /look/} may be repeated, those to {@code /book/} may not.
 */
final class Deployment implements AutoCloseable {
    private static final long AWAIT_TIMEOUT_MS = 8_000;

    final StandinStore store;
    final StandinServer modelA = new StandinServer("model-a", StandinServer.eventStream(20));
    final StandinServer modelB = new StandinServer("model-b", StandinServer.eventStream(20));
    final StandinServer appA = new StandinServer("app-a", StandinServer.plainAnswer("done"));
    final StandinServer appB = new StandinServer("app-b", StandinServer.plainAnswer("done"));
    final OperatorConfigBuilder config = new OperatorConfigBuilder()
            .service("model", true)
            .service("app", false)
            .route("/chat/", "stream", "model", 2, 6_000)
            .route("/draft/", "stream", "model", 1, 6_000)
            .route("/look/", "idempotent", "app", 2, 3_000)
            .route("/book/", "non_idempotent", "app", 1, 3_000)
            .account("account", "key");
    final List<String> events = new CopyOnWriteArrayList<>();
    final TrafficRouter router;
    private final int port = FreePorts.next();
    private final int readinessPort = FreePorts.next();
    private final int metricsPort = FreePorts.next();

    Deployment() {
        this(store -> {});
    }

    /** Starts an instance after preparing its store, for example with faults. */
    Deployment(Consumer<StandinStore> prepare) {
        this(new StandinStore(), prepare);
    }

    /** Starts an instance on a store. */
    Deployment(StandinStore store, Consumer<StandinStore> prepare) {
        this.store = store;
        prepare.accept(store);
        putModelServer("model-a", modelA, "ready");
        putModelServer("model-b", modelB, "ready");
        putAppServer("app-a", appA, "ready");
        putAppServer("app-b", appB, "ready");
        publish();
        Either<?, TrafficSettings> settings = TrafficSettingsParser.parse(
                "settings",
                InstanceSettings.text(
                        "router-1", "a", port, readinessPort, metricsPort, FreePorts.next(), store.port()));
        router = TrafficRouter.start(
                settings.get(), Main.platform(settings.get(), this::recordEvent), this::recordEvent);
        await("ready", () -> status("/book/x") == 200);
    }

    private void recordEvent(String event, Object... fields) {
        events.add(event + " " + List.of(fields));
    }

    /** Returns whether the instance has logged an event of this name. */
    boolean hasLogged(String name) {
        return events.stream().anyMatch(event -> event.startsWith(name + " "));
    }

    void putModelServer(String id, StandinServer server, String state) {
        store.put("servers/" + id, OperatorConfigBuilder.serverEntry("model", server.port(), "a", state, 0));
    }

    void putAppServer(String id, StandinServer server, String state) {
        store.put("servers/" + id, OperatorConfigBuilder.serverEntry("app", server.port(), "a", state, 0));
    }

    void publish() {
        store.put("op/config", config.nextVersion());
    }

    /** Returns the port for operators. */
    int metricsPort() {
        return metricsPort;
    }

    StandinCaller caller() throws IOException {
        return new StandinCaller(port);
    }

    /** Sends a request on a connection of its own and returns the answer. */
    StandinCaller.Answer post(String path, String id, String headers) throws IOException {
        try (StandinCaller caller = caller()) {
            caller.post(path, id, headers);
            return caller.readAnswer();
        }
    }

    /** Returns the status of a request, or 0 if the answer was missing or incomplete. */
    int status(String path) {
        try {
            return post(path, "status", "").status();
        } catch (IOException e) {
            // The test decides what a missing answer means.
            return 0;
        }
    }

    /** Returns whether the readiness check succeeds. */
    boolean ready() {
        try (StandinCaller balancer = new StandinCaller(readinessPort)) {
            balancer.send("GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n");
            return balancer.readAnswer().status() == 200;
        } catch (IOException e) {
            // An unreachable instance is not ready.
            return false;
        }
    }

    /** Returns how many requests with an id ran at any server. */
    long countRuns(String id) {
        return List.of(modelA, modelB, appA, appB).stream()
                .flatMap(server -> server.executedRequests().stream())
                .filter(request -> request.id().equals(id))
                .count();
    }

    static void await(String condition, BooleanSupplier holds) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(AWAIT_TIMEOUT_MS);
        boolean reached = holds.getAsBoolean();
        while (!reached && System.nanoTime() < end) {
            pause(10);
            reached = holds.getAsBoolean();
        }
        assertTrue(reached, "not reached in time: " + condition);
    }

    static void pause(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        router.close();
        List.of(modelA, modelB, appA, appB).forEach(StandinServer::close);
        store.close();
    }
}
