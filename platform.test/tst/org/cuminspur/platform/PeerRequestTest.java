package org.cuminspur.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.IntStream;
import org.cuminspur.standin.raw.BrokenHead;
import org.cuminspur.standin.users.CutLink;
import org.cuminspur.standin.users.OperatorConfigBuilder;
import org.cuminspur.standin.users.StandinCaller;
import org.cuminspur.standin.users.StandinServer;
import org.cuminspur.standin.users.StandinStore;
import org.cuminspur.standin.users.UpstreamLinks;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks with real instances what goes through another instance: from whom, how far, and how often. */
public class PeerRequestTest {
    private static final int INSTANCES = 3;
    private static final int SERVERS = 3;
    private static final String SERVICE = "model";
    private static final int OK = 200;
    private static final int FORBIDDEN = 403;
    private static final int UNAVAILABLE = 503;
    private static final int BAD_GATEWAY = 502;
    private static final int REQUESTS = 24;
    private static final long WORK_MS = 600;
    private static final int TIMEOUT_MS = 5_000;

    /** Statuses that promise that a request has not run. */
    private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);

    private static final String FROM_PEER = "Cuminspur-Runs: 1\r\n";

    private final List<StandinServer> servers = new ArrayList<>();
    private final List<UpstreamLinks> links = new ArrayList<>();
    private StandinStore store;
    private RouterFleet routers;

    @BeforeMethod
    public void start() {
        store = new StandinStore();
        store.put(
                StandinStore.CONFIG_KEY,
                new OperatorConfigBuilder()
                        .service(SERVICE, false)
                        .route("/look/", "idempotent", SERVICE, 2, 4_000)
                        .route("/book/", "non_idempotent", SERVICE, 1, 4_000)
                        .account("account", "key")
                        .nextVersion());
        for (int i = 0; i < SERVERS; i++) {
            StandinServer server = new StandinServer("server-" + i, StandinServer.plainAnswer("done"));
            servers.add(server);
            store.put(
                    StandinStore.SERVERS_PREFIX + "server-" + i,
                    OperatorConfigBuilder.serverEntry(SERVICE, "v1", server.port(), "a", "ready", 0));
        }
        routers = new RouterFleet(store, 0);
        for (int i = 0; i < INSTANCES; i++) {
            UpstreamLinks ofInstance = new UpstreamLinks();
            links.add(ofInstance);
            routers.start("a", store.openView(ofInstance::view));
        }
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        routers.close();
        links.forEach(UpstreamLinks::close);
        servers.forEach(StandinServer::close);
        store.close();
        links.clear();
        servers.clear();
    }

    @Test
    public void requestFromUnregisteredAddressIsRejected() throws IOException {
        String request = "POST /look/x HTTP/1.1\r\nHost: " + OperatorConfigBuilder.HOST + "\r\nAttempt-Id: stranger\r\n"
                + "X-Api-Key: " + StandinCaller.DEFAULT_API_KEY + "\r\n" + FROM_PEER + "Content-Length: 0\r\n\r\n";
        try (Socket socket = new Socket(
                InetAddress.getLoopbackAddress(), routers.peersPort(0), InetAddress.getByName("127.0.0.9"), 0)) {
            socket.setSoTimeout(TIMEOUT_MS);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            assertTrue(answer.startsWith("HTTP/1.1 " + FORBIDDEN + " "), answer);
        }
        assertEquals(runs("stranger"), 0);
    }

    @Test
    public void requestThatDoesNotStateItsRunsIsRejected() {
        assertEquals(status(routers.peersPort(0), "/look/x", "unmarked", ""), FORBIDDEN);
        assertEquals(runs("unmarked"), 0);
    }

    @Test
    public void requestOfRegisteredInstanceIsServed() {
        assertEquals(status(routers.peersPort(0), "/book/x", "served", FROM_PEER), OK);
        assertEquals(runs("served"), 1);
    }

    @Test
    public void markerInCallersRequestCountsForNothing() {
        cutOff(0);
        assertEquals(status(routers.port(0), "/book/x", "marked", FROM_PEER), OK);
        assertEquals(runs("marked"), 1);
    }

    @Test
    public void cutInstanceSendsNoRequestOfAnotherOneOn() throws IOException {
        cutOff(0);
        try (StandinCaller peer = new StandinCaller(routers.peersPort(0), TIMEOUT_MS)) {
            peer.post("/book/x", "second-hop", FROM_PEER);
            StandinCaller.Answer answer = peer.readAnswer();
            assertEquals(answer.status(), UNAVAILABLE);
            assertTrue(answer.headContains("Cuminspur-Error: peer-unavailable"), answer.head());
        }
        assertEquals(runs("second-hop"), 0);
    }

    /** Guards against a broken answer that gets through because another instance passes it on. */
    @Test
    public void brokenAnswerIsNotPassedOnThroughAnotherInstance() {
        cutOff(0);
        for (BrokenHead head : BrokenHead.values()) {
            servers.forEach(server -> server.setBehaviour(StandinServer.plainAnswer("done")));
            IntStream.range(0, SERVERS * 4)
                    .forEach(i -> assertEquals(status(routers.port(0), "/book/sound", "sound-" + head, ""), OK));
            servers.forEach(server -> server.setBehaviour((connection, request) -> {
                connection.sendBytes(head.text("Attempt-Id: " + request.id() + "\r\nResponse-Signature: signed\r\n"));
                return false;
            }));
            assertEquals(status(routers.port(0), "/book/" + head, "broken-" + head, ""), BAD_GATEWAY, head.name());
            assertEquals(runs("broken-" + head), 1, head.name());
        }
    }

    /** Guards against a repeat of a request whose relay was killed while an upstream ran it. */
    @Test
    public void requestRunsAtMostOnceIfItsRelayIsKilled() throws InterruptedException {
        cutOff(0);
        servers.forEach(server -> server.setBehaviour((connection, request) -> {
            Deployment.pause(WORK_MS);
            return StandinServer.plainAnswer("done").answer(connection, request);
        }));
        Map<String, Integer> statuses = new ConcurrentHashMap<>();
        List<Thread> callers = IntStream.range(0, REQUESTS)
                .mapToObj(i -> "killed-" + i)
                .map(id -> new Thread(() -> statuses.put(id, status(routers.port(0), "/book/x", id, ""))))
                .toList();
        callers.forEach(Thread::start);
        Deployment.pause(WORK_MS / 2);
        routers.kill(1);
        for (Thread caller : callers) {
            caller.join();
        }
        assertTrue(
                statuses.containsValue(OK) && statuses.values().stream().anyMatch(status -> status != OK),
                "" + statuses);
        statuses.forEach((id, status) -> {
            assertTrue(runs(id) <= 1, id + " ran " + runs(id) + " times");
            assertTrue(!NOT_RUN.contains(status) || runs(id) == 0, id + " got " + status + " and ran");
        });
    }

    private void cutOff(int instance) {
        links.get(instance).mode(CutLink.Mode.REFUSE);
        Deployment.await("served through another instance", () -> {
            status(routers.port(instance), "/look/x", "notice", "");
            return status(routers.port(instance), "/book/x", "notice-book", "") == OK;
        });
    }

    private static int status(int port, String path, String id, String headers) {
        try (StandinCaller caller = new StandinCaller(port, TIMEOUT_MS)) {
            caller.post(path, id, headers);
            return caller.readAnswer().status();
        } catch (IOException e) {
            // There was no whole answer in time.
            return 0;
        }
    }

    private long runs(String id) {
        return servers.stream()
                .flatMap(server -> server.executedRequests().stream())
                .filter(request -> request.id().equals(id))
                .count();
    }
}
