package org.cuminspur.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.cuminspur.standin.raw.RawUpstream;
import org.cuminspur.standin.users.OperatorConfigBuilder;
import org.cuminspur.standin.users.StandinCaller;
import org.cuminspur.standin.users.StandinServer;
import org.cuminspur.standin.users.StandinStore;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks with a real process that callers who read slowly, or not at all, cost the others neither memory nor time. */
public class SlowCallersTest {
    /** Callers whose responses would take the whole heap at 64 KB each. */
    private static final int SLOW_CALLERS = 600;

    private static final int HEAP_MEGABYTES = 48;
    private static final int QUICK_CALLERS = 50;

    /** The time to the first byte that callers are promised is a few hundred milliseconds. */
    private static final long QUICK_MS = 500;

    /** Time in which the slow responses fill the kernel's buffers, over a gigabyte in all. */
    private static final int FILL_MS = 3_000;

    private static final int IDLE_TIMEOUT_MS = 1_000;
    private static final int ROUTE_TIMEOUT_MS = 8_000;
    private static final int SERVERS = 2;
    private static final int RECEIVE_BUFFER_BYTES = 4_096;
    private static final int CONNECT_TIMEOUT_MS = 2_000;
    private static final int OK = 200;
    private static final String PIECE = "x".repeat(16 * 1_024);

    /** More than the kernel holds for a caller. */
    private static final int ENDLESS_PIECES = 400;

    /** Time in which a change of the configuration is in force. */
    private static final int CHANGE_MS = 3_000;

    private final OperatorConfigBuilder config = new OperatorConfigBuilder()
            .service("app", false)
            .route("/pieces/", "non_idempotent", "app", 1, ROUTE_TIMEOUT_MS)
            .account("account", "key");
    private final List<StandinServer> servers = new ArrayList<>();
    private final List<Socket> sockets = new ArrayList<>();
    private StandinStore store;
    private RouterProcess router;

    @BeforeMethod
    public void start() {
        store = new StandinStore();
        for (int i = 0; i < SERVERS; i++) {
            StandinServer server = new StandinServer("server-" + i, SlowCallersTest::answer);
            servers.add(server);
            store.put(
                    StandinStore.SERVERS_PREFIX + "server-" + i,
                    OperatorConfigBuilder.serverEntry("app", server.port(), "a", "ready", 0));
        }
        publish(ROUTE_TIMEOUT_MS);
        router = new RouterProcess("router-1", store.port(), HEAP_MEGABYTES);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        for (Socket socket : sockets) {
            socket.close();
        }
        sockets.clear();
        router.close();
        servers.forEach(StandinServer::close);
        servers.clear();
        store.close();
    }

    private void publish(long idleTimeoutMillis) {
        config.idleTimeout(idleTimeoutMillis);
        store.put(StandinStore.CONFIG_KEY, config.nextVersion());
    }

    /** Publishes a short time for callers who read nothing, and waits until it is in force. */
    private void shortenIdleTimeout() {
        publish(IDLE_TIMEOUT_MS);
        Deployment.pause(CHANGE_MS);
    }

    /** Answers with as many pieces as the path says. */
    private static boolean answer(RawUpstream.Connection connection, StandinServer.Request request) throws IOException {
        int pieces = Integer.parseInt(request.path().substring(request.path().lastIndexOf('/') + 1));
        connection.send(StandinServer.answerHead(OK, request, "Content-Length: " + pieces * PIECE.length() + "\r\n"));
        for (int i = 0; i < pieces; i++) {
            connection.send(PIECE);
        }
        return true;
    }

    /** Guards against a process that ends for want of memory, and against quick callers who wait for slow ones. */
    @Test(groups = "known-red")
    public void callersWhoReadNothingLeaveMemoryForTheOthers() throws IOException {
        slowestOfQuickCallers("first");
        for (int i = 0; i < SLOW_CALLERS; i++) {
            request("slow-" + i, ENDLESS_PIECES);
        }
        Deployment.pause(FILL_MS);
        long slowest = slowestOfQuickCallers("quick");
        assertFalse(router.logged().contains("OutOfMemoryError"), "the process ran out of memory");
        assertTrue(slowest <= QUICK_MS, "a quick caller waited for " + slowest);
    }

    /** Returns the longest time that a quick caller waits for its response. */
    private long slowestOfQuickCallers(String name) throws IOException {
        long slowest = 0;
        for (int i = 0; i < QUICK_CALLERS; i++) {
            long startNanos = System.nanoTime();
            assertEquals(post(name + "-" + i, 1).status(), OK);
            slowest = Math.max(slowest, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos));
        }
        return slowest;
    }

    /** Guards against memory and connections that are held for good once an upstream has sent its whole response. */
    @Test
    public void callerWhoReadsNothingLosesItsConnection() throws IOException {
        shortenIdleTimeout();
        // How much the kernel holds is not known; of some of these the upstream is done and the instance holds the
        // rest.
        for (int pieces = 8; pieces <= ENDLESS_PIECES; pieces += 8) {
            request("unread-" + pieces, pieces);
        }
        Deployment.await("unread responses are ended", () -> router.logged().contains("response-unread"));
    }

    /** Guards against a caller who reads slowly but loses its response. */
    @Test
    public void callerWhoReadsSlowlyIsServed() throws IOException {
        shortenIdleTimeout();
        int pieces = 40;
        Socket socket = request("slow", pieces);
        int received = 0;
        byte[] buffer = new byte[PIECE.length()];
        while (received < pieces * PIECE.length()) {
            int count = socket.getInputStream().read(buffer);
            assertTrue(count > 0, "ended after " + received);
            received += count;
            if (received % (4 * PIECE.length()) < count) {
                Deployment.pause(IDLE_TIMEOUT_MS / 4);
            }
        }
    }

    /** Sends a request of which nothing is read; the kernel holds little for it. */
    private Socket request(String id, int pieces) throws IOException {
        Socket socket = new Socket();
        sockets.add(socket);
        socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), router.port()), CONNECT_TIMEOUT_MS);
        String request = "POST /pieces/" + pieces + " HTTP/1.1\r\nHost: " + OperatorConfigBuilder.HOST
                + "\r\nAttempt-Id: " + id + "\r\nX-Api-Key: " + StandinCaller.DEFAULT_API_KEY
                + "\r\nContent-Length: 2\r\n\r\n{}";
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    private StandinCaller.Answer post(String id, int pieces) throws IOException {
        try (StandinCaller caller = new StandinCaller(router.port())) {
            caller.post("/pieces/" + pieces, id, "");
            return caller.readAnswer();
        }
    }
}
