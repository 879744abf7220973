package org.cuminspur.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.cuminspur.standin.raw.RawUpstream;
import org.cuminspur.standin.users.OperatorConfigBuilder;
import org.cuminspur.standin.users.StandinCaller;
import org.cuminspur.standin.users.StandinServer;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks what callers receive when server answers are correct, wrong, duplicated, incomplete or missing. */
public class UpstreamResponsesTest {
    private static final String EVENTS =
            IntStream.rangeClosed(1, 20).mapToObj(StandinServer::eventText).collect(Collectors.joining());

    private Deployment deployment;

    @BeforeClass
    public void start() {
        deployment = new Deployment();
    }

    @AfterClass
    public void stop() {
        deployment.close();
    }

    @AfterMethod
    public void restoreServers() {
        List.of(deployment.modelA, deployment.modelB)
                .forEach(server -> server.setBehaviour(StandinServer.eventStream(20)));
        List.of(deployment.appA, deployment.appB)
                .forEach(server -> server.setBehaviour(StandinServer.plainAnswer("done")));
        Deployment.await(
                "both services serve",
                () -> deployment.status("/book/x") == 200 && deployment.status("/draft/x") == 200);
    }

    @Test
    public void forwardsCompleteAnswersUnchanged() throws IOException {
        StandinCaller.Answer plain = deployment.post("/book/x?y=%2F", "whole-1", "");
        assertEquals(plain.status(), 200);
        assertEquals(plain.body(), "done");
        assertTrue(
                plain.headContains("Response-Signature: signed") && plain.headContains("Attempt-Id: whole-1"),
                plain.head());
        assertEquals(deployment.post("/draft/x", "whole-2", "").body(), EVENTS);
        assertTrue(List.of(deployment.appA, deployment.appB).stream()
                .flatMap(server -> server.executedRequests().stream())
                .anyMatch(request -> request.path().equals("/book/x?y=%2F")));
    }

    @Test
    public void servesManyRequestsOnOneConnection() throws IOException {
        try (StandinCaller caller = deployment.caller()) {
            for (int i = 0; i < 20; i++) {
                caller.post(i % 2 == 0 ? "/book/x" : "/draft/x", "kept-" + i, "");
                assertEquals(caller.readAnswer().status(), 200, "request " + i);
            }
        }
    }

    @Test
    public void doesNotForwardAnswerToAnotherRequest() throws IOException {
        setAppBehaviour((connection, request) -> {
            connection.send("HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nResponse-Signature: s\r\n"
                    + "Content-Length: 5\r\n\r\nwrong");
            return true;
        });
        StandinCaller.Answer answer = deployment.post("/book/x", "foreign", "");
        assertEquals(answer.status(), 502);
        assertFalse(answer.body().contains("wrong"));
        assertEquals(deployment.countRuns("foreign"), 1);
    }

    @Test
    public void rejectsSuccessWithoutSignature() throws IOException {
        setAppBehaviour((connection, request) -> {
            connection.send("HTTP/1.1 200 OK\r\nAttempt-Id: " + request.id() + "\r\nContent-Length: 4\r\n\r\ndone");
            return true;
        });
        assertEquals(deployment.post("/book/x", "unsigned", "").status(), 502);
    }

    @Test
    public void discardsBytesAfterAnAnswer() throws IOException {
        setAppBehaviour((connection, request) -> {
            String answer = StandinServer.answerHead(200, request, "Content-Length: 4\r\n") + "done";
            connection.send(answer + answer);
            return true;
        });
        try (StandinCaller caller = deployment.caller()) {
            for (int i = 0; i < 10; i++) {
                caller.post("/book/x", "extra-" + i, "");
                StandinCaller.Answer answer = caller.readAnswer();
                assertTrue(answer.status() == 502 || answer.headContains("Attempt-Id: extra-" + i), answer.head());
                assertTrue(deployment.countRuns("extra-" + i) <= 1);
            }
        }
    }

    @Test
    public void retriesLostAnswerOnlyIfIdempotent() throws IOException {
        setAppBehaviour((connection, request) -> false);
        assertEquals(deployment.post("/book/x", "lost-1", "").status(), 502);
        assertEquals(deployment.countRuns("lost-1"), 1);
        assertEquals(deployment.post("/look/x", "lost-2", "").status(), 502);
        assertEquals(deployment.countRuns("lost-2"), 2);
    }

    @Test
    public void retriesServerErrorElsewhereOnlyIfIdempotent() throws IOException {
        AtomicInteger calls = new AtomicInteger();
        setAppBehaviour((connection, request) -> (calls.getAndIncrement() % 2 == 0
                        ? StandinServer.failureAnswer(500)
                        : StandinServer.plainAnswer("done"))
                .answer(connection, request));
        assertEquals(deployment.post("/look/x", "mended", "").status(), 200);
        StandinCaller.Answer answer = deployment.post("/book/x", "failed", "");
        assertEquals(answer.status(), 500);
        assertTrue(answer.headContains("Response-Signature: signed"));
    }

    @Test
    public void reportsNotRunRefusalWithRetryAfter() throws IOException {
        setAppBehaviour(StandinServer.notExecutedAnswer());
        StandinCaller.Answer answer = deployment.post("/book/x", "full", "");
        assertEquals(answer.status(), 503);
        assertTrue(answer.headContains("Retry-After: "), answer.head());
    }

    @DataProvider
    public Object[][] ambiguousStatuses() {
        return new Object[][] {{408}, {429}, {503}};
    }

    @Test(dataProvider = "ambiguousStatuses")
    public void doesNotForwardRefusalIfRequestMayHaveRun(int status) throws IOException {
        setAppBehaviour(StandinServer.failureAnswer(status));
        assertEquals(deployment.post("/book/x", "unclear-" + status, "").status(), 502);
    }

    @Test
    public void resumesInterruptedStreamAtAnotherServer() throws IOException {
        setModelBehaviour((connection, request) -> {
            if (request.header("Last-Event-Id").isEmpty()) {
                sendPartialStream(connection, request, 7);
                return false;
            }
            return StandinServer.eventStream(20).answer(connection, request);
        });
        assertEquals(deployment.post("/chat/x", "resumed", "").body(), EVENTS);
    }

    @Test
    public void unresumableStreamNeverLooksComplete() throws IOException {
        setModelBehaviour((connection, request) -> {
            sendPartialStream(connection, request, 3);
            return false;
        });
        deployment.store.remove("servers/model-b");
        Deployment.pause(300);
        try (StandinCaller caller = deployment.caller()) {
            caller.post("/chat/x", "cut-twice", "");
            String all = caller.readToEnd();
            assertFalse(all.contains("\r\n0\r\n"), all);
            assertTrue(all.contains("token-3"), all);
        } finally {
            deployment.putModelServer("model-b", deployment.modelB, "ready");
        }
    }

    @Test
    public void interruptedStreamNeverLooksComplete() throws IOException {
        setModelBehaviour((connection, request) -> {
            sendPartialStream(connection, request, 7);
            return false;
        });
        try (StandinCaller caller = deployment.caller()) {
            caller.post("/draft/x", "cut", "");
            String all = caller.readToEnd();
            assertFalse(all.contains("\r\n0\r\n"), all);
            assertTrue(all.contains("token-7"), all);
        }
    }

    @Test
    public void closeDelimitedAnswerIsComplete() throws IOException {
        setAppBehaviour((connection, request) -> {
            connection.send(StandinServer.answerHead(200, request, "Connection: close\r\n") + "unframed");
            return false;
        });
        assertEquals(deployment.post("/book/x", "unframed", "").body(), "unframed");
    }

    @Test
    public void earlyAnswerLeavesNoPartialBodyOnConnection() throws IOException {
        String big = "x".repeat(3_000_000);
        RawUpstream early = new RawUpstream(connection -> {
            for (String head = connection.readHead(); !head.isEmpty(); head = connection.readHead()) {
                if (!head.startsWith("POST ")) {
                    throw new IOException("not a request: " + head);
                }
                StandinServer.Request request = new StandinServer.Request(head);
                connection.send(StandinServer.answerHead(413, request, "Content-Length: 3\r\n") + "big");
                Deployment.pause(50);
                connection.in().readNBytes(big.length());
            }
        });
        try (early) {
            deployment.store.remove("servers/app-b");
            deployment.store.put(
                    "servers/app-a", OperatorConfigBuilder.serverEntry("app", early.port(), "a", "ready", 0));
            Deployment.pause(300);
            for (int i = 1; i <= 5; i++) {
                try (StandinCaller caller = deployment.caller()) {
                    caller.send("POST /book/x HTTP/1.1\r\nHost: users.example\r\nAttempt-Id: early-" + i
                            + "\r\nX-Api-Key: key\r\nContent-Length: " + big.length() + "\r\n\r\n" + big);
                    assertEquals(caller.readAnswer().status(), 413, "request " + i);
                }
            }
        } finally {
            deployment.putAppServer("app-a", deployment.appA, "ready");
            deployment.putAppServer("app-b", deployment.appB, "ready");
        }
    }

    private void setAppBehaviour(StandinServer.Behaviour behaviour) {
        List.of(deployment.appA, deployment.appB).forEach(server -> server.setBehaviour(behaviour));
    }

    private void setModelBehaviour(StandinServer.Behaviour behaviour) {
        List.of(deployment.modelA, deployment.modelB).forEach(server -> server.setBehaviour(behaviour));
    }

    /** Sends the given number of events and part of the next one. */
    private static void sendPartialStream(RawUpstream.Connection connection, StandinServer.Request request, int events)
            throws IOException {
        connection.send(StandinServer.answerHead(200, request, "Transfer-Encoding: chunked\r\n"));
        for (int event = 1; event <= events; event++) {
            StandinServer.sendChunk(connection, StandinServer.eventText(event));
        }
        StandinServer.sendChunk(connection, "id: " + (events + 1) + "\ndata: to");
    }
}
