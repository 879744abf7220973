package org.cuminspur.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.cuminspur.standin.users.StandinCaller;
import org.cuminspur.standin.users.StandinServer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks that servers that say in an answer that they leave, or want nothing for a while, get no more requests. */
public class ServerWithdrawalTest {
    private static final int REQUESTS = 20;
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    /** Time within which a request that cannot be served is refused. */
    private static final long AT_ONCE_MS = 200;

    private Deployment deployment;

    @BeforeMethod
    public void start() {
        deployment = new Deployment();
    }

    @AfterMethod
    public void stop() {
        deployment.close();
    }

    @Test
    public void serverThatSaysThatItLeavesGetsNoMoreRequests() throws IOException {
        deployment.appA.setBehaviour(answer(OK, "Server-Leaving: 1\r\n"));
        sendUntilReached(deployment.appA);
        int before = deployment.appA.executedRequests().size();
        send(OK);
        assertEquals(deployment.appA.executedRequests().size(), before);
    }

    @Test
    public void answerWithoutTheHeaderDoesNotBringItBack() throws IOException {
        deployment.appA.setBehaviour(answer(OK, "Server-Leaving: 1\r\n"));
        sendUntilReached(deployment.appA);
        deployment.appA.setBehaviour(StandinServer.plainAnswer("done"));
        int before = deployment.appA.executedRequests().size();
        send(OK);
        assertEquals(deployment.appA.executedRequests().size(), before);
    }

    @Test
    public void serverThatTurnsRequestsAwayGetsNoneForAsLongAsItSays() throws IOException {
        deployment.appA.setBehaviour(answer(UNAVAILABLE, "Not-Executed: 1\r\nRetry-After: 1.5\r\n"));
        sendUntilReached(deployment.appA);
        int before = deployment.appA.executedRequests().size();
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(1_300);
        for (int i = 0; System.nanoTime() < endNanos; i++) {
            assertEquals(deployment.post("/look/x", "turned-" + i, "").status(), OK);
            Deployment.pause(20);
        }
        assertEquals(deployment.appA.executedRequests().size(), before);
        deployment.appA.setBehaviour(StandinServer.plainAnswer("done"));
        Deployment.pause(500);
        sendUntilReached(deployment.appA);
    }

    @Test
    public void pauseInAnAnswerToAnotherRequestIsKept() throws IOException {
        deployment.appA.setBehaviour((connection, request) -> {
            connection.send("HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: other\r\nRetry-After: 1.5\r\n"
                    + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            return true;
        });
        sendUntilReached(deployment.appA);
        int before = deployment.appA.executedRequests().size();
        send(OK);
        assertEquals(deployment.appA.executedRequests().size(), before);
    }

    @Test
    public void requestIsRefusedAtOnceIfAllServersAskForTime() throws IOException {
        deployment.appA.setBehaviour(answer(UNAVAILABLE, "Not-Executed: 1\r\nRetry-After: 30\r\n"));
        deployment.appB.setBehaviour(answer(UNAVAILABLE, "Not-Executed: 1\r\nRetry-After: 4\r\n"));
        deployment.post("/look/x", "first", "");
        int before = deployment.appA.executedRequests().size()
                + deployment.appB.executedRequests().size();
        long startNanos = System.nanoTime();
        StandinCaller.Answer refusal = deployment.post("/look/x", "second", "");
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        assertEquals(refusal.status(), UNAVAILABLE);
        assertTrue(millis <= AT_ONCE_MS, "refused after " + millis + " ms");
        assertTrue(refusal.head().matches("(?s).*Retry-After: [3-6]\\..*"), refusal.head());
        assertEquals(
                deployment.appA.executedRequests().size()
                        + deployment.appB.executedRequests().size(),
                before);
    }

    @DataProvider
    public Object[][] invalidTimes() {
        return new Object[][] {{"soon"}, {"-3"}, {""}, {"1e9"}, {"Wed, 21 Oct 2026 07:28:00 GMT"}};
    }

    @Test(dataProvider = "invalidTimes")
    public void invalidTimeIsIgnored(String value) throws IOException {
        List<StandinServer> servers = List.of(deployment.appA, deployment.appB);
        servers.forEach(server ->
                server.setBehaviour(answer(UNAVAILABLE, "Not-Executed: 1\r\nRetry-After: " + value + "\r\n")));
        assertEquals(deployment.post("/look/x", "invalid", "").status(), UNAVAILABLE);
        servers.forEach(server -> server.setBehaviour(StandinServer.plainAnswer("done")));
        Deployment.await("served again", () -> deployment.status("/look/x") == OK);
    }

    private void send(int status) throws IOException {
        for (int i = 0; i < REQUESTS; i++) {
            assertEquals(deployment.post("/look/x", "request-" + i, "").status(), status);
        }
    }

    /** Sends requests until one reaches a server. */
    private void sendUntilReached(StandinServer server) {
        int before = server.executedRequests().size();
        Deployment.await("a request reaches the server", () -> {
            deployment.status("/look/x");
            return server.executedRequests().size() > before;
        });
    }

    private static StandinServer.Behaviour answer(int status, String headers) {
        return (connection, request) -> {
            connection.send(StandinServer.answerHead(status, request, headers + "Content-Length: 4\r\n") + "done");
            return true;
        };
    }
}
