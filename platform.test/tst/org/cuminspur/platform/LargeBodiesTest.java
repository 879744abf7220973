package org.cuminspur.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.cuminspur.standin.users.OperatorConfigBuilder;
import org.cuminspur.standin.users.StandinCaller;
import org.cuminspur.standin.users.StandinServer;
import org.cuminspur.standin.users.StandinStore;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks with a real process that request bodies which are each within their limit do not take its memory together. */
public class LargeBodiesTest {
    private static final int CALLERS = 300;
    private static final int BODY_BYTES = 1_000_000;
    private static final int OK = 200;

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
                        .route("/book/", "non_idempotent", "app", 1, 8_000)
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

    @DataProvider
    public Object[][] framings() {
        return new Object[][] {
            {"Content-Length: " + BODY_BYTES, ""},
            {"Transfer-Encoding: chunked", Integer.toHexString(BODY_BYTES) + "\r\n"}
        };
    }

    /** Guards against a process that ends for want of memory, with the requests of all its callers. */
    @Test(dataProvider = "framings")
    public void manyUnfinishedBodiesLeaveRoomForOtherRequests(String framing, String start) throws IOException {
        String unfinished = framing + "\r\n\r\n" + start + "x".repeat(BODY_BYTES - 1);
        List<StandinCaller> callers = new ArrayList<>();
        try {
            for (int i = 0; i < CALLERS; i++) {
                StandinCaller caller = new StandinCaller(router.port());
                callers.add(caller);
                begin(caller, unfinished, i);
            }
            for (int i = 0; i < 20; i++) {
                assertEquals(post("small-" + i, "{}"), OK);
            }
        } finally {
            for (StandinCaller caller : callers) {
                caller.close();
            }
        }
        Deployment.await("served again", () -> postQuietly("large", "x".repeat(BODY_BYTES)) == OK);
        assertTrue(!router.logged().contains("OutOfMemoryError"), "the process ran out of memory");
    }

    private static void begin(StandinCaller caller, String unfinished, int number) {
        try {
            caller.send("POST /book/x HTTP/1.1\r\nHost: " + OperatorConfigBuilder.HOST + "\r\nAttempt-Id: begun-"
                    + number + "\r\nX-Api-Key: " + StandinCaller.DEFAULT_API_KEY + "\r\n" + unfinished);
        } catch (IOException e) {
            // It was refused before its body was read.
            return;
        }
    }

    private int post(String id, String body) throws IOException {
        try (StandinCaller caller = new StandinCaller(router.port())) {
            caller.post("/book/x", id, StandinCaller.DEFAULT_API_KEY, "", body);
            return caller.readAnswer().status();
        }
    }

    private int postQuietly(String id, String body) {
        try {
            return post(id, body);
        } catch (IOException e) {
            // It was refused before its body was read.
            return 0;
        }
    }
}
