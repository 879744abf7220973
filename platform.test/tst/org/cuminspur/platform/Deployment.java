package org.cuminspur.platform;

import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.cuminspur.router.TrafficRouter;
import org.cuminspur.router.TrafficSettings;
import org.cuminspur.router.TrafficSettingsParser;
import org.cuminspur.standin.users.UsersCaller;
import org.cuminspur.standin.users.UsersConfig;
import org.cuminspur.standin.users.UsersServer;
import org.cuminspur.standin.users.UsersSettings;
import org.cuminspur.standin.users.UsersStore;

/**
 * One instance with a simulated platform: a store and two servers for each of two services.
 *
 * <p>Used by one thread. Streams sent to {@code /chat/} may be resumed, those sent to {@code /draft/} may not; plain
 * requests to {@code /look/} may be repeated, those to {@code /book/} may not.
 */
final class Deployment implements AutoCloseable {
    private static final long AWAIT_TIMEOUT_MS = 8_000;

    final UsersStore store = new UsersStore();
    final UsersServer modelA = new UsersServer("model-a", UsersServer.stream(20));
    final UsersServer modelB = new UsersServer("model-b", UsersServer.stream(20));
    final UsersServer appA = new UsersServer("app-a", UsersServer.plain("done"));
    final UsersServer appB = new UsersServer("app-b", UsersServer.plain("done"));
    final UsersConfig config = new UsersConfig()
            .service("model", true)
            .service("app", false)
            .route("/chat/", "stream", "model", 2, 6_000)
            .route("/draft/", "stream", "model", 1, 6_000)
            .route("/look/", "idempotent", "app", 2, 3_000)
            .route("/book/", "non_idempotent", "app", 1, 3_000)
            .account("account", "key");
    final List<String> events = new CopyOnWriteArrayList<>();
    final TrafficRouter router;
    private final int port = freePort();
    private final int readinessPort = freePort();

    Deployment() {
        this(store -> {});
    }

    /** Starts an instance after preparing its store, for example with faults. */
    Deployment(Consumer<UsersStore> prepare) {
        prepare.accept(store);
        putModelServer("model-a", modelA, "ready");
        putModelServer("model-b", modelB, "ready");
        putAppServer("app-a", appA, "ready");
        putAppServer("app-b", appB, "ready");
        publish();
        Either<?, TrafficSettings> settings = TrafficSettingsParser.parse(
                "settings", UsersSettings.text("router-1", "a", port, readinessPort, freePort(), store.port()));
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

    void putModelServer(String id, UsersServer server, String state) {
        store.put("servers/" + id, UsersConfig.server("model", server.port(), "a", state, 0));
    }

    void putAppServer(String id, UsersServer server, String state) {
        store.put("servers/" + id, UsersConfig.server("app", server.port(), "a", state, 0));
    }

    void publish() {
        store.put("op/config", config.version());
    }

    UsersCaller caller() throws IOException {
        return new UsersCaller(port);
    }

    /** Sends a request on a connection of its own and returns the answer. */
    UsersCaller.Answer post(String path, String id, String headers) throws IOException {
        try (UsersCaller caller = caller()) {
            caller.post(path, id, headers);
            return caller.answer();
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
        try (UsersCaller balancer = new UsersCaller(readinessPort)) {
            balancer.send("GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n");
            return balancer.answer().status() == 200;
        } catch (IOException e) {
            // An unreachable instance is not ready.
            return false;
        }
    }

    /** Returns how many requests with an id ran at any server. */
    long countRuns(String id) {
        return List.of(modelA, modelB, appA, appB).stream()
                .flatMap(server -> server.runs().stream())
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
        List.of(modelA, modelB, appA, appB).forEach(UsersServer::close);
        store.close();
    }

    private static int freePort() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }
}
