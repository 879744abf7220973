package org.cuminspur.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.cuminspur.standin.users.OperatorConfigBuilder;
import org.cuminspur.standin.users.StandinCaller;
import org.cuminspur.standin.users.StandinServer;
import org.cuminspur.standin.users.StandinStore;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks with a real process what callers get who send late in a planned stop, until the process is gone. */
public class LateStopTest {
    private static final int GRACE_MS = 8_000;
    private static final int TIMEOUT_MS = 12_000;
    private static final int CALLERS = 12;
    private static final int OK = 200;
    private static final int NOT_RUN_STATUS = 503;

    /** Statuses that promise that a request has not run. */
    private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);

    private StandinStore store;
    private StandinServer server;
    private RouterProcess router;

    @BeforeMethod
    public void start() {
        store = new StandinStore();
        server = new StandinServer("server-0", StandinServer.plainAnswer("done"));
        store.put(
                StandinStore.SERVERS_PREFIX + "server-0",
                OperatorConfigBuilder.serverEntry("app", server.port(), "a", "ready", 0));
        store.put(
                StandinStore.CONFIG_KEY,
                new OperatorConfigBuilder()
                        .service("app", false)
                        .route("/book/", "non_idempotent", "app", 1, TIMEOUT_MS)
                        .account("account", "key")
                        .nextVersion());
        router = new RouterProcess("router-1", store.port());
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        router.close();
        server.close();
        store.close();
    }

    /** Guards against a request that ran, or may have, and whose connection ends with no answer. */
    @Test
    public void requestStillInProgressAtTheEndIsAnsweredAsUnknown() throws Exception {
        server.setBehaviour((connection, request) -> {
            connection.awaitClose();
            return false;
        });
        try (StandinCaller caller = new StandinCaller(router.port(), TIMEOUT_MS)) {
            caller.post("/book/x", "silent", "");
            Deployment.await("sent", () -> hasRun("silent"));
            router.terminate();
            assertEquals(caller.readAnswer().status(), 502);
        }
        assertTrue(router.awaitEnd());
    }

    /** Guards against a request that is taken late in the grace time and cut at its end. */
    @Test
    public void lateRequestIsServedOnlyIfItEndsInTime() throws Exception {
        server.setBehaviour((connection, request) -> {
            Deployment.pause(request.id().equals("holder") ? GRACE_MS * 3 / 4 : 0);
            return StandinServer.plainAnswer("done").answer(connection, request);
        });
        // This one keeps the process until late in its grace time.
        Thread holder = new Thread(() -> statusOrZero("holder", ""));
        holder.start();
        Deployment.await("sent", () -> hasRun("holder"));
        router.terminate();
        Deployment.pause(GRACE_MS / 2);
        assertEquals(statusOrZero("short", "Deadline-Ms: 700\r\n"), OK);
        assertEquals(statusOrZero("long", ""), NOT_RUN_STATUS);
        assertTrue(!hasRun("long"));
        holder.join();
    }

    /** Guards against requests that are read as the process ends, and get no answer. */
    @Test
    public void eachRequestThatRanWhileTheProcessStoppedIsAnswered() throws Exception {
        AtomicInteger sent = new AtomicInteger();
        Map<String, Integer> statuses = new ConcurrentHashMap<>();
        server.setBehaviour((connection, request) -> {
            Deployment.pause(150);
            return StandinServer.plainAnswer("done").answer(connection, request);
        });
        Thread[] callers = IntStream.range(0, CALLERS)
                .mapToObj(number -> new Thread(() -> sendUntilGone(sent, statuses)))
                .toArray(Thread[]::new);
        for (Thread caller : callers) {
            caller.start();
        }
        Deployment.pause(GRACE_MS / 8);
        router.terminate();
        assertTrue(router.awaitEnd());
        for (Thread caller : callers) {
            caller.join();
        }
        statuses.forEach((id, status) -> {
            assertTrue(status != 0 || !hasRun(id), id + " ran and got no answer");
            assertTrue(!NOT_RUN.contains(status) || !hasRun(id), id + " got " + status + " and ran");
        });
        assertTrue(statuses.containsValue(OK), "" + statuses);
    }

    private void sendUntilGone(AtomicInteger sent, Map<String, Integer> statuses) {
        int refusedConnections = 0;
        while (refusedConnections < 20) {
            String id = "request-" + sent.incrementAndGet();
            int status = statusOrZero(id, "Deadline-Ms: 700\r\n");
            refusedConnections = status == 0 ? refusedConnections + 1 : 0;
            statuses.put(id, status);
            Deployment.pause(5);
        }
    }

    private int statusOrZero(String id, String headers) {
        try (StandinCaller caller = new StandinCaller(router.port(), TIMEOUT_MS)) {
            caller.post("/book/x", id, headers);
            return caller.readAnswer().status();
        } catch (IOException e) {
            // The connection was refused, or it ended without a whole answer.
            return 0;
        }
    }

    private boolean hasRun(String id) {
        return server.executedRequests().stream()
                .anyMatch(request -> request.id().equals(id));
    }
}
