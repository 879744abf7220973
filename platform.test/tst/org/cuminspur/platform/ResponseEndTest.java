package org.cuminspur.platform;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.cuminspur.standin.users.OperatorConfigBuilder;
import org.cuminspur.standin.users.StandinCaller;
import org.cuminspur.standin.users.StandinServer;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks for each framing and each kind of end of a server's answer whether the caller takes it for complete. */
public class ResponseEndTest {
    private static final int EVENTS = 20;
    private static final String PLAIN_BODY = "plain body";
    private static final String STREAM_HEADERS = "Content-Type: text/event-stream\r\n";
    private static final int SUCCESSES_BEFORE_CASE = 10;
    private static final AtomicInteger REQUESTS = new AtomicInteger();

    private Deployment deployment;

    /** How a server marks the end of its answer. */
    enum Framing {
        LENGTH,
        CHUNKED,
        CONNECTION_END;

        String headers(int length) {
            return switch (this) {
                case LENGTH -> "Content-Length: " + length + "\r\n";
                case CHUNKED -> "Transfer-Encoding: chunked\r\n";
                case CONNECTION_END -> "";
            };
        }

        String encode(String body) {
            return this == CHUNKED && !body.isEmpty()
                    ? Integer.toHexString(body.length()) + "\r\n" + body + "\r\n"
                    : body;
        }
    }

    /** How a server ends its answer. */
    enum End {
        /** Where the framing says; an answer without framing ends with its connection. */
        FRAMED,
        /** The connection ends in order, before the end that the framing says. */
        CLOSED_EARLY,
        RESET
    }

    /** How much of a stream a server sends. */
    enum Sent {
        NOTHING,
        WHOLE_EVENTS,
        PART_OF_EVENT;

        String body() {
            return switch (this) {
                case NOTHING -> "";
                case WHOLE_EVENTS -> events(7);
                case PART_OF_EVENT -> events(7) + "id: 8\ndata: to";
            };
        }
    }

    /** How a caller sends its request, which decides how its answer can be framed. */
    enum CallerKind {
        KEPT_CONNECTION("HTTP/1.1", ""),
        CLOSED_CONNECTION("HTTP/1.1", "Connection: close\r\n"),
        HTTP_1_0("HTTP/1.0", "");

        private final String protocol;
        private final String headers;

        CallerKind(String protocol, String headers) {
            this.protocol = protocol;
            this.headers = headers;
        }
    }

    @BeforeClass
    public void start() {
        deployment = new Deployment();
    }

    @AfterClass
    public void stop() {
        deployment.close();
    }

    /** Keeps failures of earlier cases from ejecting a server or using up the retry budget. */
    @BeforeMethod
    public void serveSuccessfully() {
        StandinServer.Behaviour stream = StandinServer.plainAnswer(events(1));
        List.of(deployment.modelA, deployment.modelB).forEach(server -> server.setBehaviour(stream));
        for (int i = 0; i < SUCCESSES_BEFORE_CASE; i++) {
            assertEquals(deployment.status("/chat/x"), 200);
        }
    }

    @DataProvider
    public Object[][] plainAnswers() {
        return combinations(Framing.values(), End.values(), CallerKind.values());
    }

    @Test(dataProvider = "plainAnswers")
    public void plainAnswerIsCompleteOnlyIfItEndsWhereItsFramingSays(Framing framing, End end, CallerKind kind)
            throws IOException {
        deployment.appA.setBehaviour(answer(framing, end, "Content-Type: text/plain\r\n", PLAIN_BODY));
        deployment.appB.setBehaviour(answer(framing, end, "Content-Type: text/plain\r\n", PLAIN_BODY));
        boolean whole = end == End.FRAMED || (framing == Framing.CONNECTION_END && end == End.CLOSED_EARLY);
        assertEquals(receivedBody("/book/x", kind), whole ? PLAIN_BODY : "incomplete");
    }

    @DataProvider
    public Object[][] streams() {
        return combinations(Framing.values(), End.values(), Sent.values(), CallerKind.values());
    }

    @Test(dataProvider = "streams")
    public void streamThatCannotBeResumedIsCompleteOnlyIfItsLastEventIs(
            Framing framing, End end, Sent sent, CallerKind kind) throws IOException {
        StandinServer.Behaviour behaviour = answer(framing, end, STREAM_HEADERS, sent.body());
        deployment.modelA.setBehaviour(behaviour);
        deployment.modelB.setBehaviour(behaviour);
        assertEquals(receivedBody("/draft/x", kind), isWhole(framing, end, sent) ? sent.body() : "incomplete");
    }

    @Test(dataProvider = "streams")
    public void streamThatEndsEarlyIsResumed(Framing framing, End end, Sent sent, CallerKind kind) throws IOException {
        StandinServer.Behaviour behaviour = (connection, request) -> request.lastEventId() > 0
                ? StandinServer.eventStream(EVENTS).answer(connection, request)
                : answer(framing, end, STREAM_HEADERS, sent.body()).answer(connection, request);
        deployment.modelA.setBehaviour(behaviour);
        deployment.modelB.setBehaviour(behaviour);
        String resumed = sent == Sent.NOTHING ? "incomplete" : events(EVENTS);
        assertEquals(receivedBody("/chat/x", kind), isWhole(framing, end, sent) ? sent.body() : resumed);
    }

    /** Returns whether nothing shows that a stream is incomplete. */
    private static boolean isWhole(Framing framing, End end, Sent sent) {
        boolean marked = end == End.FRAMED && framing != Framing.CONNECTION_END;
        boolean unmarked = end != End.RESET && framing == Framing.CONNECTION_END;
        return (marked && sent != Sent.PART_OF_EVENT) || (unmarked && sent == Sent.WHOLE_EVENTS);
    }

    /** Returns the body that a caller takes for complete, or "incomplete". */
    private String receivedBody(String path, CallerKind kind) {
        String id = "end-" + REQUESTS.incrementAndGet();
        try (StandinCaller caller = deployment.caller()) {
            caller.send("POST " + path + " " + kind.protocol + "\r\nHost: " + OperatorConfigBuilder.HOST
                    + "\r\nAttempt-Id: " + id + "\r\nX-Api-Key: " + StandinCaller.DEFAULT_API_KEY + "\r\n"
                    + kind.headers + "Content-Length: 2\r\n\r\n{}");
            StandinCaller.Answer answer = caller.readAnswer();
            return answer.status() == 200 && !answer.body().endsWith("<reset>") ? answer.body() : "incomplete";
        } catch (IOException e) {
            // An answer that ends before its framing says so.
            return "incomplete";
        }
    }

    private static StandinServer.Behaviour answer(Framing framing, End end, String headers, String body) {
        return (connection, request) -> {
            int missing = end == End.FRAMED ? 0 : 1;
            // One write: a part that waits for an acknowledgement would be lost with a reset.
            connection.send(StandinServer.answerHead(200, request, headers + framing.headers(body.length() + missing))
                    + framing.encode(body));
            if (end == End.RESET) {
                Deployment.pause(20);
                connection.reset();
            } else if (end == End.FRAMED && framing == Framing.CHUNKED) {
                connection.send("0\r\n\r\n");
            }
            return end == End.FRAMED && framing != Framing.CONNECTION_END;
        };
    }

    private static String events(int count) {
        return IntStream.rangeClosed(1, count)
                .mapToObj(StandinServer::eventText)
                .collect(Collectors.joining());
    }

    private static Object[][] combinations(Object[]... columns) {
        List<List<Object>> rows = List.of(List.of());
        for (Object[] column : columns) {
            rows = rows.stream()
                    .flatMap(row -> Arrays.stream(column)
                            .map(value -> Stream.concat(row.stream(), Stream.of(value))
                                    .toList()))
                    .toList();
        }
        return rows.stream().map(List::toArray).toArray(Object[][]::new);
    }
}
