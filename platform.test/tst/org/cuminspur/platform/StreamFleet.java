package org.cuminspur.platform;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.cuminspur.standin.users.OperatorConfigBuilder;
import org.cuminspur.standin.users.StandinCaller;
import org.cuminspur.standin.users.StandinServer;
import org.cuminspur.standin.users.StandinStore;

/**
 * Several instances before servers of several software versions; used by one thread.
 *
 * <p>A server's events name its version. A new stream stops after {@link #FIRST_PART} events, where it ends with its
 * connection or waits for the caller to leave; a resumed one is sent to its end.
 */
final class StreamFleet implements AutoCloseable {
    /** Path of streams that their server breaks off. */
    static final String BROKEN_PATH = "/broken/x";

    /** Path of streams that wait until their caller leaves. */
    static final String WAITING_PATH = "/waiting/x";

    static final int FIRST_PART = 7;
    static final int EVENTS = 20;

    private static final String SERVICE = "model";

    /** Time in which a change in the store reaches the instances. */
    private static final long APPLY_MS = 700;

    final StandinStore store = new StandinStore();
    private final Map<String, StandinServer> servers = new LinkedHashMap<>();
    private final RouterFleet routers;

    StreamFleet(int instances) {
        store.put(
                StandinStore.CONFIG_KEY,
                new OperatorConfigBuilder()
                        .service(SERVICE, false)
                        .route("/broken/", "stream", SERVICE, 2, 6_000)
                        .route("/waiting/", "stream", SERVICE, 2, 6_000)
                        .account("account", "key")
                        .nextVersion());
        routers = new RouterFleet(store, instances);
    }

    /** Starts another instance, waits until the others can know it, and returns its number. */
    int startInstance() {
        return routers.start();
    }

    /** Starts another instance that sees the store at a port. */
    int startInstance(int storePort) {
        return routers.start("a", storePort);
    }

    /** Returns a port of the store at which no instance has an address for messages. */
    int storePortWithoutPeers() {
        return store.openView((key, value) -> key.startsWith(RouterFleet.INSTANCE_PREFIX) ? "a" : value);
    }

    /** Waits until the store holds which versions serve, as it does soon after the start of a fleet. */
    void awaitVersionsRecorded() {
        Deployment.await("versions recorded", () -> store.count("cuminspur/versions/") > 0);
        Deployment.pause(APPLY_MS);
    }

    /** Stops an instance at once. */
    void killInstance(int instance) {
        routers.kill(instance);
    }

    /** Starts a server and waits until the instances use it. */
    void startServer(String id, String version) {
        StandinServer server = new StandinServer(id, (connection, request) -> {
            boolean resumed = request.lastEventId() > 0;
            int last = resumed ? EVENTS : FIRST_PART;
            String events = IntStream.rangeClosed(request.lastEventId() + 1, last)
                    .mapToObj(event -> "id: " + event + "\ndata: " + version + "\n\n")
                    .collect(Collectors.joining());
            // One write, since a second one would wait for an acknowledgement.
            connection.send(StandinServer.answerHead(
                            200, request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
                    + Integer.toHexString(events.length()) + "\r\n" + events + "\r\n"
                    + (resumed ? "0\r\n\r\n" : ""));
            if (request.path().equals(WAITING_PATH) && !resumed) {
                connection.awaitClose();
            }
            return resumed;
        });
        Optional.ofNullable(servers.put(id, server)).ifPresent(StandinServer::close);
        store.put(
                StandinStore.SERVERS_PREFIX + id,
                OperatorConfigBuilder.serverEntry(SERVICE, version, server.port(), "a", "ready", 0));
        Deployment.pause(APPLY_MS);
    }

    /** Removes a server's entry; the server goes on with what it does. */
    void removeServer(String id) {
        store.remove(StandinStore.SERVERS_PREFIX + id);
        Deployment.pause(APPLY_MS);
    }

    /** Removes the entries of all servers. */
    void removeServers() {
        servers.keySet().forEach(id -> store.remove(StandinStore.SERVERS_PREFIX + id));
        Deployment.pause(APPLY_MS);
    }

    /** Begins a stream at an instance and leaves after its first part; returns the events received. */
    String beginAndLeave(int instance, String id) {
        try (StandinCaller caller = new StandinCaller(routers.port(instance))) {
            caller.post(WAITING_PATH, id, "");
            return caller.readUntil("id: " + FIRST_PART + "\n", "\n\n");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Sends a request for the rest of a stream; returns the answer, empty if it is not complete. */
    Optional<StandinCaller.Answer> resume(int instance, String id, String resumes) {
        return call(instance, WAITING_PATH, id, "Last-Event-Id: " + FIRST_PART + "\r\nResumes: " + resumes + "\r\n");
    }

    /** Sends a request; returns the answer, empty if it is not complete. */
    Optional<StandinCaller.Answer> call(int instance, String path, String id, String headers) {
        try (StandinCaller caller = new StandinCaller(routers.port(instance))) {
            caller.post(path, id, StandinCaller.DEFAULT_API_KEY, headers, id);
            return Optional.of(caller.readAnswer());
        } catch (IOException e) {
            // The answer was cut, or there was none.
            return Optional.empty();
        }
    }

    /** Returns how many requests with an id reached any server. */
    long countRuns(String id) {
        return servers.values().stream()
                .flatMap(server -> server.executedRequests().stream())
                .filter(request -> request.id().equals(id))
                .count();
    }

    /** Returns the number of versions whose events are in a text. */
    static long versionsIn(String events) {
        return Stream.of(events.split("\n"))
                .filter(line -> line.startsWith("data: "))
                .distinct()
                .count();
    }

    @Override
    public void close() {
        routers.close();
        servers.values().forEach(StandinServer::close);
        store.close();
    }
}
