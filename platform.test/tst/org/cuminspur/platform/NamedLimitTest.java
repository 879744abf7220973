package org.cuminspur.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.cuminspur.standin.raw.RawUpstream.Connection;
import org.cuminspur.standin.users.OperatorConfigBuilder;
import org.cuminspur.standin.users.StandinCaller;
import org.cuminspur.standin.users.StandinServer;
import org.cuminspur.standin.users.StandinStore;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Checks with real instances that a server gets no more than the limit that it names, and other servers the rest. */
public class NamedLimitTest {
    private static final int INSTANCES = 3;
    private static final String SERVICE = "model";
    private static final double LIMIT = 2.5;
    private static final int OK = 200;
    private static final int NOT_RUN = 503;

    /** Time from the first response that names a limit in which all instances know it. */
    private static final long KNOWN_MS = 1_500;

    private static final long WINDOW_MS = 4_000;
    private static final int MAX_IN_WINDOW = (int) (1.5 * LIMIT * WINDOW_MS / 1_000 + 5);
    private static final long GAP_MS = 12;

    private final StandinStore store = new StandinStore();
    private final List<Long> limitedArrivals = new CopyOnWriteArrayList<>();
    private final List<StandinServer> servers = new ArrayList<>();
    private volatile boolean naming;
    private RouterFleet routers;

    @BeforeClass
    public void start() {
        store.put(
                StandinStore.CONFIG_KEY,
                new OperatorConfigBuilder()
                        .service(SERVICE, false)
                        .route("/look/", "idempotent", SERVICE, 2, 3_000)
                        .account("account", "key")
                        .nextVersion());
        startServer("limited", this::answerWithLimit);
        startServer("free", StandinServer.plainAnswer("done"));
        routers = new RouterFleet(store, INSTANCES);
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        routers.close();
        servers.forEach(StandinServer::close);
        store.close();
    }

    @Test
    public void serverGetsNoMoreThanItNamesAndTheEndIsNoticed() throws IOException {
        naming = true;
        send(KNOWN_MS, OK);
        int before = limitedArrivals.size();
        send(WINDOW_MS, OK);
        int arrived = limitedArrivals.size() - before;
        assertTrue(arrived <= MAX_IN_WINDOW && arrived >= LIMIT, "arrived " + arrived);
        naming = false;
        send(KNOWN_MS, OK);
        before = limitedArrivals.size();
        send(KNOWN_MS, OK);
        assertTrue(limitedArrivals.size() - before > MAX_IN_WINDOW, "arrived " + (limitedArrivals.size() - before));
    }

    @Test(dependsOnMethods = "serverGetsNoMoreThanItNamesAndTheEndIsNoticed")
    public void requestsAreRefusedAtOnceWhereAllServersAreLimited() throws IOException {
        store.remove(StandinStore.SERVERS_PREFIX + "free");
        naming = true;
        Deployment.pause(KNOWN_MS);
        List<StandinCaller.Answer> answers = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            answers.add(post(i % INSTANCES, "all-" + i));
        }
        assertTrue(answers.stream().anyMatch(answer -> answer.status() == OK));
        List<StandinCaller.Answer> refused =
                answers.stream().filter(answer -> answer.status() == NOT_RUN).toList();
        assertTrue(!refused.isEmpty() && refused.stream().allMatch(answer -> answer.headContains("Retry-After: 0.")));
    }

    private void startServer(String id, StandinServer.Behaviour behaviour) {
        StandinServer server = new StandinServer(id, behaviour);
        servers.add(server);
        store.put(
                StandinStore.SERVERS_PREFIX + id,
                OperatorConfigBuilder.serverEntry(SERVICE, "v1", server.port(), "a", "ready", 0));
    }

    private boolean answerWithLimit(Connection connection, StandinServer.Request request) throws IOException {
        limitedArrivals.add(System.nanoTime());
        String limit = naming ? StandinServer.limitHeader(LIMIT) : "";
        connection.send(StandinServer.answerHead(200, request, limit + "Content-Length: 4\r\n") + "done");
        return true;
    }

    /** Sends requests to all instances in turn for a while. */
    private void send(long millis, int status) throws IOException {
        long end = System.nanoTime() + millis * 1_000_000;
        for (int i = 0; System.nanoTime() < end; i++) {
            assertEquals(post(i % INSTANCES, "call-" + end + "-" + i).status(), status);
            Deployment.pause(GAP_MS);
        }
    }

    private StandinCaller.Answer post(int instance, String id) throws IOException {
        try (StandinCaller caller = new StandinCaller(routers.port(instance))) {
            caller.post("/look/x", id, "");
            return caller.readAnswer();
        }
    }
}
