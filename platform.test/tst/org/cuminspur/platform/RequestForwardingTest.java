package org.cuminspur.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.cuminspur.standin.users.UsersCaller;
import org.cuminspur.standin.users.UsersServer;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks what servers get of callers' requests, and what callers get that ask for what they may not. */
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
    public void whatOnlyTheSystemSaysIsNotTakenFromCallers() throws IOException {
        deployment.post(
                "/book/x",
                "smuggled",
                "Tenant: rich\r\nHold: 1\r\nPin-Ms: 9\r\nKv-Backup: x\r\nKv-From: x\r\nKv-Fetch: x\r\n"
                        + "Target-Instance: other\r\nRequest-Priority: 0\r\nModel: m\r\nX-Other: kept\r\n"
                        + "Connection: keep-alive, X-Hop\r\nX-Hop: gone\r\nDeadline-Ms: 900\r\n");
        UsersServer.Request seen = seen("smuggled");
        assertEquals(seen.header("Tenant"), "account");
        Stream.of("Hold", "Pin-Ms", "Kv-Backup", "Kv-From", "Kv-Fetch", "X-Api-Key", "X-Hop")
                .forEach(name -> assertEquals(seen.header(name), "", name));
        assertTrue(seen.header("Target-Instance").startsWith("app-"), seen.head());
        assertEquals(seen.header("Request-Priority"), "1");
        assertEquals(seen.header("Model"), "m");
        assertEquals(seen.header("X-Other"), "kept");
    }

    @DataProvider
    public Object[][] deadlines() {
        return new Object[][] {{"Deadline-Ms: 900\r\n", 900}, {"Deadline-Ms: 90000\r\n", 3_000}, {"", 3_000}};
    }

    @Test(dataProvider = "deadlines")
    public void serversGetWhatIsLeftOfTheSmallerLimit(String header, int most) throws IOException {
        String id = "deadline-" + header.hashCode();
        deployment.post("/book/x", id, header);
        int left = Integer.parseInt(seen(id).header("Deadline-Ms"));
        assertTrue(left <= most && left > most - 300, "left " + left);
    }

    @Test
    public void whatIsNotAllowedIsRefusedWithItsStatus() throws IOException {
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
    public void chunkedBodiesReachTheServerWhole() throws IOException {
        try (UsersCaller caller = deployment.caller()) {
            caller.send("POST /book/x HTTP/1.1\r\nHost: users.example\r\nAttempt-Id: chunked\r\nX-Api-Key: key\r\n"
                    + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
            assertEquals(caller.answer().status(), 200);
        }
        assertEquals(seen("chunked").header("Content-Length"), "5");
    }

    @Test
    public void aCallerThatLeavesCancelsItsRequest() throws Exception {
        CountDownLatch started = new CountDownLatch(1);
        CountDownLatch cancelled = new CountDownLatch(1);
        UsersServer.Behaviour waiting = (connection, request) -> {
            connection.send(UsersServer.head(200, request, "Transfer-Encoding: chunked\r\n"));
            UsersServer.chunk(connection, UsersServer.event(1));
            started.countDown();
            connection.awaitClose();
            cancelled.countDown();
            return false;
        };
        deployment.modelA.behave(waiting);
        deployment.modelB.behave(waiting);
        try (UsersCaller caller = deployment.caller()) {
            caller.post("/draft/x", "leaver", "");
            assertTrue(started.await(5, TimeUnit.SECONDS));
        }
        assertTrue(cancelled.await(500, TimeUnit.MILLISECONDS), "the server still works on the request");
    }

    @Test
    public void aRequestThatIsNotAnsweredInTimeEndsThen() throws IOException {
        UsersServer.Behaviour never = (connection, request) -> {
            connection.awaitClose();
            return false;
        };
        deployment.appA.behave(never);
        deployment.appB.behave(never);
        long began = System.nanoTime();
        int status = deployment.post("/book/x", "late", "Deadline-Ms: 700\r\n").status();
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began);
        deployment.appA.behave(UsersServer.plain("done"));
        deployment.appB.behave(UsersServer.plain("done"));
        assertEquals(status, 504);
        assertTrue(millis >= 650 && millis < 1_200, "after " + millis + " ms");
        assertFalse(deployment.runs("late") > 1);
    }

    private int status(String request) throws IOException {
        try (UsersCaller caller = deployment.caller()) {
            caller.send(request);
            return caller.answer().status();
        }
    }

    private UsersServer.Request seen(String id) {
        return Stream.of(deployment.appA, deployment.appB)
                .flatMap(server -> server.runs().stream())
                .filter(request -> request.id().equals(id))
                .findFirst()
                .orElseThrow();
    }
}
