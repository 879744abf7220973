package org.cuminspur.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import org.cuminspur.standin.users.CutLink;
import org.cuminspur.standin.users.OperatorConfigBuilder;
import org.cuminspur.standin.users.StandinCaller;
import org.cuminspur.standin.users.StandinServer;
import org.cuminspur.standin.users.StandinStore;
import org.cuminspur.standin.users.UpstreamLinks;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks with a real process that a request which was given up never arrives, however long the network holds it back. */
public class GivenUpRequestTest {
    private static final String SERVICE = "model";
    private static final int OK = 200;

    /** Time limit of the callers. */
    private static final int LIMIT_MS = 1_200;

    /** Time in which the instance gives a request up and ends its connection. */
    private static final long GIVE_UP_MS = 1_500;

    /** Time in which bytes that were held back arrive. */
    private static final long ARRIVAL_MS = 600;

    /** Time in which an instance learns that an upstream leaves. */
    private static final long LEARN_MS = 1_000;

    private static final int TIMEOUT_MS = 8_000;
    private static final int SMALL_BYTES = 2;

    /** Body of which a part stays in the process while the network holds the rest back. */
    private static final int LARGE_BYTES = 1_000_000;

    private StandinStore store;
    private StandinServer server;
    private UpstreamLinks links;
    private RouterProcess router;

    /** How an attempt comes to be given up. */
    enum Cause {
        LIMIT,
        CALLER_LEAVES,
        PROCESS_IS_KILLED,
        PROCESS_STOPS
    }

    @BeforeMethod
    public void start() throws IOException {
        store = new StandinStore();
        links = new UpstreamLinks();
        server = new StandinServer("server-0", StandinServer.plainAnswer("done"));
        store.put(
                StandinStore.CONFIG_KEY,
                new OperatorConfigBuilder()
                        .service(SERVICE, false)
                        .route("/look/", "idempotent", SERVICE, 2, TIMEOUT_MS)
                        .route("/book/", "non_idempotent", SERVICE, 1, TIMEOUT_MS)
                        .account("account", "key")
                        .nextVersion());
        putServer("ready");
        router = new RouterProcess("router-1", store.openView(links::view));
        // Leaves a connection that the instance uses again.
        assertEquals(post("/look/x", "before", "{}"), OK);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        router.close();
        links.close();
        server.close();
        store.close();
    }

    @DataProvider
    public Object[][] givenUp() {
        return new Object[][] {
            {Cause.LIMIT, "/book/x", SMALL_BYTES},
            {Cause.LIMIT, "/look/x", SMALL_BYTES},
            {Cause.LIMIT, "/look/x", 0},
            {Cause.LIMIT, "/book/x", LARGE_BYTES},
            {Cause.CALLER_LEAVES, "/book/x", SMALL_BYTES},
            {Cause.CALLER_LEAVES, "/look/x", LARGE_BYTES},
            {Cause.PROCESS_IS_KILLED, "/book/x", SMALL_BYTES},
            {Cause.PROCESS_STOPS, "/book/x", SMALL_BYTES},
        };
    }

    @Test(dataProvider = "givenUp")
    public void givenUpRequestNeverArrivesAtAnUpstreamThatLeavesMeanwhile(Cause cause, String path, int bytes)
            throws Exception {
        links.mode(CutLink.Mode.HANG);
        String limit = cause == Cause.LIMIT ? "Deadline-Ms: " + LIMIT_MS + "\r\n" : "";
        try (StandinCaller caller = new StandinCaller(router.port(), TIMEOUT_MS)) {
            caller.post(path, "held", StandinCaller.DEFAULT_API_KEY, limit, "x".repeat(bytes));
            Deployment.pause(LIMIT_MS / 2);
            giveUp(cause, caller);
        }
        Deployment.pause(GIVE_UP_MS);
        putServer("draining");
        links.mode(CutLink.Mode.WHOLE);
        Deployment.pause(ARRIVAL_MS);
        assertFalse(hasArrived("held"), "the request arrived after it was given up");
    }

    private void giveUp(Cause cause, StandinCaller caller) throws Exception {
        switch (cause) {
            case LIMIT -> Deployment.pause(LIMIT_MS);
            case CALLER_LEAVES -> caller.close();
            case PROCESS_IS_KILLED -> router.kill();
            case PROCESS_STOPS -> {
                router.terminate();
                assertTrue(router.awaitEnd());
            }
            default -> throw new IllegalArgumentException(cause.name());
        }
    }

    /** Guards against a wait for an upstream that leaves and never got the request. */
    @Test
    public void idempotentRequestThatIsHeldBackGoesElsewhereAsItsUpstreamLeaves() throws Exception {
        StandinServer other = new StandinServer("server-1", StandinServer.plainAnswer("done"));
        try (StandinCaller caller = new StandinCaller(router.port(), TIMEOUT_MS)) {
            links.mode(CutLink.Mode.HANG);
            caller.post("/look/x", "held", "");
            Deployment.pause(LIMIT_MS / 2);
            putServer("draining");
            // The path to the other upstream does not hang.
            links.whole(other.port());
            store.put(
                    StandinStore.SERVERS_PREFIX + "server-1",
                    OperatorConfigBuilder.serverEntry(SERVICE, other.port(), "a", "ready", 0));
            assertEquals(caller.readAnswer().status(), OK);
            links.mode(CutLink.Mode.WHOLE);
            Deployment.pause(ARRIVAL_MS);
            assertFalse(hasArrived("held"), "the request arrived after it was given up");
        } finally {
            other.close();
        }
    }

    /** Guards against a request that may have run and is given up for its upstream's silence. */
    @Test
    public void nonIdempotentRequestIsWaitedForAsItsUpstreamLeaves() throws Exception {
        links.mode(CutLink.Mode.HANG);
        try (StandinCaller caller = new StandinCaller(router.port(), TIMEOUT_MS)) {
            caller.post("/book/x", "held", "");
            Deployment.pause(LIMIT_MS / 2);
            putServer("draining");
            Deployment.pause(2 * LEARN_MS);
            links.mode(CutLink.Mode.WHOLE);
            assertEquals(caller.readAnswer().status(), OK);
        }
    }

    private void putServer(String state) {
        store.put(
                StandinStore.SERVERS_PREFIX + "server-0",
                OperatorConfigBuilder.serverEntry(SERVICE, server.port(), "a", state, 0));
    }

    private int post(String path, String id, String body) throws IOException {
        try (StandinCaller caller = new StandinCaller(router.port(), TIMEOUT_MS)) {
            caller.post(path, id, StandinCaller.DEFAULT_API_KEY, "", body);
            return caller.readAnswer().status();
        }
    }

    private boolean hasArrived(String id) {
        return server.executedRequests().stream()
                .anyMatch(request -> request.id().equals(id));
    }
}
