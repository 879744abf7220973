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
import org.cuminspur.standin.users.UsersCaller;
import org.cuminspur.standin.users.UsersConfig;
import org.cuminspur.standin.users.UsersServer;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks what callers receive when server answers are correct, wrong, duplicated, incomplete or missing. */
public class UpstreamResponsesTest {
    private static final String EVENTS =
            IntStream.rangeClosed(1, 20).mapToObj(UsersServer::event).collect(Collectors.joining());

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
        List.of(deployment.modelA, deployment.modelB).forEach(server -> server.behave(UsersServer.stream(20)));
        List.of(deployment.appA, deployment.appB).forEach(server -> server.behave(UsersServer.plain("done")));
        Deployment.await(
                "both services serve",
                () -> deployment.status("/book/x") == 200 && deployment.status("/draft/x") == 200);
    }

    @Test
    public void forwardsCompleteAnswersUnchanged() throws IOException {
        UsersCaller.Answer plain = deployment.post("/book/x?y=%2F", "whole-1", "");
        assertEquals(plain.status(), 200);
        assertEquals(plain.body(), "done");
        assertTrue(plain.has("Response-Signature: signed") && plain.has("Attempt-Id: whole-1"), plain.head());
        assertEquals(deployment.post("/draft/x", "whole-2", "").body(), EVENTS);
        assertTrue(List.of(deployment.appA, deployment.appB).stream()
                .flatMap(server -> server.runs().stream())
                .anyMatch(request -> request.path().equals("/book/x?y=%2F")));
    }

    @Test
    public void servesManyRequestsOnOneConnection() throws IOException {
        try (UsersCaller caller = deployment.caller()) {
            for (int i = 0; i < 20; i++) {
                caller.post(i % 2 == 0 ? "/book/x" : "/draft/x", "kept-" + i, "");
                assertEquals(caller.answer().status(), 200, "request " + i);
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
        UsersCaller.Answer answer = deployment.post("/book/x", "foreign", "");
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
            String answer = UsersServer.head(200, request, "Content-Length: 4\r\n") + "done";
            connection.send(answer + answer);
            return true;
        });
        try (UsersCaller caller = deployment.caller()) {
            for (int i = 0; i < 10; i++) {
                caller.post("/book/x", "extra-" + i, "");
                UsersCaller.Answer answer = caller.answer();
                assertTrue(answer.status() == 502 || answer.has("Attempt-Id: extra-" + i), answer.head());
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
                        ? UsersServer.failing(500)
                        : UsersServer.plain("done"))
                .answer(connection, request));
        assertEquals(deployment.post("/look/x", "mended", "").status(), 200);
        UsersCaller.Answer answer = deployment.post("/book/x", "failed", "");
        assertEquals(answer.status(), 500);
        assertTrue(answer.has("Response-Signature: signed"));
    }

    @Test
    public void reportsNotRunRefusalWithRetryAfter() throws IOException {
        setAppBehaviour(UsersServer.full());
        UsersCaller.Answer answer = deployment.post("/book/x", "full", "");
        assertEquals(answer.status(), 503);
        assertTrue(answer.has("Retry-After: "), answer.head());
    }

    @DataProvider
    public Object[][] ambiguousStatuses() {
        return new Object[][] {{408}, {429}, {503}};
    }

    @Test(dataProvider = "ambiguousStatuses")
    public void doesNotForwardRefusalIfRequestMayHaveRun(int status) throws IOException {
        setAppBehaviour(UsersServer.failing(status));
        assertEquals(deployment.post("/book/x", "unclear-" + status, "").status(), 502);
    }

    @Test
    public void resumesInterruptedStreamAtAnotherServer() throws IOException {
        setModelBehaviour((connection, request) -> {
            if (request.header("Last-Event-Id").isEmpty()) {
                sendPartialStream(connection, request, 7);
                return false;
            }
            return UsersServer.stream(20).answer(connection, request);
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
        try (UsersCaller caller = deployment.caller()) {
            caller.post("/chat/x", "cut-twice", "");
            String all = caller.rest();
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
        try (UsersCaller caller = deployment.caller()) {
            caller.post("/draft/x", "cut", "");
            String all = caller.rest();
            assertFalse(all.contains("\r\n0\r\n"), all);
            assertTrue(all.contains("token-7"), all);
        }
    }

    @Test
    public void closeDelimitedAnswerIsComplete() throws IOException {
        setAppBehaviour((connection, request) -> {
            connection.send(UsersServer.head(200, request, "Connection: close\r\n") + "unframed");
            return false;
        });
        assertEquals(deployment.post("/book/x", "unframed", "").body(), "unframed");
    }

    @Test
    public void earlyAnswerLeavesNoPartialBodyOnConnection() throws IOException {
        String big = "x".repeat(3_000_000);
        RawUpstream early = new RawUpstream(connection -> {
            for (String head = connection.head(); !head.isEmpty(); head = connection.head()) {
                if (!head.startsWith("POST ")) {
                    throw new IOException("not a request: " + head);
                }
                UsersServer.Request request = new UsersServer.Request(head);
                connection.send(UsersServer.head(413, request, "Content-Length: 3\r\n") + "big");
                Deployment.pause(50);
                connection.in().readNBytes(big.length());
            }
        });
        try (early) {
            deployment.store.remove("servers/app-b");
            deployment.store.put("servers/app-a", UsersConfig.server("app", early.port(), "a", "ready", 0));
            Deployment.pause(300);
            for (int i = 1; i <= 5; i++) {
                try (UsersCaller caller = deployment.caller()) {
                    caller.send("POST /book/x HTTP/1.1\r\nHost: users.example\r\nAttempt-Id: early-" + i
                            + "\r\nX-Api-Key: key\r\nContent-Length: " + big.length() + "\r\n\r\n" + big);
                    assertEquals(caller.answer().status(), 413, "request " + i);
                }
            }
        } finally {
            deployment.putAppServer("app-a", deployment.appA, "ready");
            deployment.putAppServer("app-b", deployment.appB, "ready");
        }
    }

    private void setAppBehaviour(UsersServer.Behaviour behaviour) {
        List.of(deployment.appA, deployment.appB).forEach(server -> server.behave(behaviour));
    }

    private void setModelBehaviour(UsersServer.Behaviour behaviour) {
        List.of(deployment.modelA, deployment.modelB).forEach(server -> server.behave(behaviour));
    }

    /** Sends the given number of events and part of the next one. */
    private static void sendPartialStream(RawUpstream.Connection connection, UsersServer.Request request, int events)
            throws IOException {
        connection.send(UsersServer.head(200, request, "Transfer-Encoding: chunked\r\n"));
        for (int event = 1; event <= events; event++) {
            UsersServer.chunk(connection, UsersServer.event(event));
        }
        UsersServer.chunk(connection, "id: " + (events + 1) + "\ndata: to");
    }
}
