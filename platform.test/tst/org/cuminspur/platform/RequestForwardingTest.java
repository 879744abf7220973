package org.cuminspur.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.cuminspur.standin.users.StandinCaller;
import org.cuminspur.standin.users.StandinServer;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks what servers receive of callers' requests, and how invalid and unauthorized requests are refused. */
public class RequestForwardingTest {
    private Deployment deployment;

    @BeforeClass
    public void start() {
        deployment = new Deployment();
    }

    @AfterClass
    public void stop() {
        deployment.close();
    }

    @Test
    public void dropsRouterOnlyHeadersFromCallers() throws IOException {
        deployment.post(
                "/book/x",
                "smuggled",
                "Tenant: rich\r\nHold: 1\r\nPin-Ms: 9\r\nKv-Backup: x\r\nKv-From: x\r\nKv-Fetch: x\r\n"
                        + "Target-Instance: other\r\nRequest-Priority: 0\r\nModel: m\r\nX-Other: kept\r\n"
                        + "Connection: keep-alive, X-Hop\r\nX-Hop: gone\r\nDeadline-Ms: 900\r\n");
        StandinServer.Request received = receivedRequest("smuggled");
        assertEquals(received.header("Tenant"), "account");
        Stream.of("Hold", "Pin-Ms", "Kv-Backup", "Kv-From", "Kv-Fetch", "X-Api-Key", "X-Hop")
                .forEach(name -> assertEquals(received.header(name), "", name));
        assertTrue(received.header("Target-Instance").startsWith("app-"), received.head());
        assertEquals(received.header("Request-Priority"), "1");
        assertEquals(received.header("Model"), "m");
        assertEquals(received.header("X-Other"), "kept");
    }

    @DataProvider
    public Object[][] deadlines() {
        return new Object[][] {{"Deadline-Ms: 900\r\n", 900}, {"Deadline-Ms: 90000\r\n", 3_000}, {"", 3_000}};
    }

    @Test(dataProvider = "deadlines")
    public void sendsRemainingTimeOfTheSmallerLimit(String header, int maxMillis) throws IOException {
        String id = "deadline-" + header.hashCode();
        deployment.post("/book/x", id, header);
        int remainingMillis = Integer.parseInt(receivedRequest(id).header("Deadline-Ms"));
        assertTrue(remainingMillis <= maxMillis && remainingMillis > maxMillis - 300, "remaining " + remainingMillis);
    }

    @Test
    public void refusesInvalidRequestsWithMatchingStatus() throws IOException {
        assertEquals(deployment.status("/nowhere/x"), 404);
        assertEquals(status("POST /book/x HTTP/1.1\r\nHost: users.example\r\nAttempt-Id: 1\r\n\r\n"), 401);
        assertEquals(
                status("POST /book/x HTTP/1.1\r\nHost: users.example\r\nAttempt-Id: 1\r\nX-Api-Key: no\r\n\r\n"), 401);
        assertEquals(
                status("POST /book/x HTTP/1.1\r\nHost: users.example\r\nAttempt-Id: 1\r\nX-Api-Key: key\r\n"
                        + "X-Api-Key: key\r\n\r\n"),
                401);
        assertEquals(status("POST /book/x HTTP/1.1\r\nHost: users.example\r\nX-Api-Key: key\r\n\r\n"), 400);
        assertEquals(
                status("POST /book/x HTTP/1.1\r\nHost: users.example\r\nAttempt-Id: 1\r\nX-Api-Key: key\r\n"
                        + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
                400);
        assertEquals(
                status("POST /book/x HTTP/1.1\r\nHost: users.example\r\nAttempt-Id: 1\r\nX-Api-Key: key\r\nX-Big: "
                        + "b".repeat(20_000) + "\r\n\r\n"),
                431);
    }

    @Test
    public void forwardsChunkedBodiesCompletely() throws IOException {
        try (StandinCaller caller = deployment.caller()) {
            caller.send("POST /book/x HTTP/1.1\r\nHost: users.example\r\nAttempt-Id: chunked\r\nX-Api-Key: key\r\n"
                    + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
            assertEquals(caller.readAnswer().status(), 200);
        }
        assertEquals(receivedRequest("chunked").header("Content-Length"), "5");
    }

    /** Listed in KNOWN-RED.txt. */
    @Test(groups = "known-red")
    public void cancelsRequestWhenCallerDisconnects() throws Exception {
        CountDownLatch started = new CountDownLatch(1);
        CountDownLatch cancelled = new CountDownLatch(1);
        StandinServer.Behaviour waiting = (connection, request) -> {
            connection.send(StandinServer.answerHead(200, request, "Transfer-Encoding: chunked\r\n"));
            StandinServer.sendChunk(connection, StandinServer.eventText(1));
            started.countDown();
            connection.awaitClose();
            cancelled.countDown();
            return false;
        };
        deployment.modelA.setBehaviour(waiting);
        deployment.modelB.setBehaviour(waiting);
        try (StandinCaller caller = deployment.caller()) {
            caller.post("/draft/x", "leaver", "");
            assertTrue(started.await(5, TimeUnit.SECONDS));
        }
        assertTrue(cancelled.await(500, TimeUnit.MILLISECONDS), "the server still works on the request");
    }

    @Test
    public void endsRequestAtItsDeadline() throws IOException {
        StandinServer.Behaviour unanswered = (connection, request) -> {
            connection.awaitClose();
            return false;
        };
        deployment.appA.setBehaviour(unanswered);
        deployment.appB.setBehaviour(unanswered);
        long startNanos = System.nanoTime();
        int status = deployment.post("/book/x", "late", "Deadline-Ms: 700\r\n").status();
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        deployment.appA.setBehaviour(StandinServer.plainAnswer("done"));
        deployment.appB.setBehaviour(StandinServer.plainAnswer("done"));
        assertEquals(status, 504);
        assertTrue(millis >= 650 && millis < 1_200, "after " + millis + " ms");
        assertFalse(deployment.countRuns("late") > 1);
    }

    private int status(String request) throws IOException {
        try (StandinCaller caller = deployment.caller()) {
            caller.send(request);
            return caller.readAnswer().status();
        }
    }

    private StandinServer.Request receivedRequest(String id) {
        return Stream.of(deployment.appA, deployment.appB)
                .flatMap(server -> server.executedRequests().stream())
                .filter(request -> request.id().equals(id))
                .findFirst()
                .orElseThrow();
    }
}
