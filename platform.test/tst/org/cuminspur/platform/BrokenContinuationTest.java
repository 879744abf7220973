package org.cuminspur.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.Arrays;
import java.util.stream.Stream;
import org.cuminspur.standin.raw.BrokenHead;
import org.cuminspur.standin.raw.RawUpstream;
import org.cuminspur.standin.users.StandinServer;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks what becomes of a stream that has begun and broken off if the next server does not continue it. */
public class BrokenContinuationTest {
    private static final int FIRST_PART = 7;
    private static final String STREAM = "Content-Type: text/event-stream\r\n";
    private static final String HTML = "Content-Type: text/html\r\n";

    private BrokenAnswers answers;

    /** How the first server's stream breaks off, after whole events. */
    enum Break {
        /** Inside an event; the connection ends in order. */
        INSIDE_EVENT("id: 8\ndata: to", false),
        INSIDE_EVENT_RESET("id: 8\ndata: to", true),
        BETWEEN_EVENTS("", false),
        BETWEEN_EVENTS_RESET("", true);

        private final String rest;
        private final boolean reset;

        Break(String rest, boolean reset) {
            this.rest = rest;
            this.reset = reset;
        }
    }

    /** What the next server answers: no events, or those of no continuation. */
    enum Continuation {
        EMPTY_STREAM(200, STREAM + "Content-Length: 0\r\n", ""),
        EMPTY_CHUNKED_STREAM(200, STREAM + "Transfer-Encoding: chunked\r\n", "0\r\n\r\n"),
        EMPTY_STREAM_ENDED_BY_CLOSE(200, STREAM, ""),
        EMPTY_WITHOUT_TYPE(200, "Content-Length: 0\r\n", ""),
        PART_OF_EVENT(200, STREAM + "Content-Length: 8\r\n", "id: 8\nda"),
        FIRST_EVENTS_AGAIN(200, STREAM + "Content-Length: 23\r\n", StandinServer.eventText(1)),
        GAP(200, STREAM + "Content-Length: 23\r\n", StandinServer.eventText(9)),
        COMMENT(200, STREAM + "Content-Length: 9\r\n", ": broken\n"),
        COMMENT_AS_EVENT(200, STREAM + "Content-Length: 10\r\n", ": broken\n\n"),
        TEXT(200, HTML + "Content-Length: 7\r\n", "broken\n"),
        EVENTS_IN_TEXT(200, HTML + "Content-Length: 23\r\n", StandinServer.eventText(8)),
        EMPTY_TEXT(200, HTML + "Content-Length: 0\r\n", ""),
        CREATED(201, STREAM + "Content-Length: 23\r\n", StandinServer.eventText(8)),
        NO_CONTENT(204, "", ""),
        RESET_CONTENT(205, "Content-Length: 0\r\n", ""),
        PARTIAL_CONTENT(206, STREAM + "Content-Length: 23\r\n", StandinServer.eventText(8)),
        MOVED(301, "Location: /broken\r\nContent-Length: 0\r\n", ""),
        FOUND_WITH_TEXT(302, HTML + "Location: /broken\r\nContent-Length: 7\r\n", "broken\n"),
        NOT_MODIFIED(304, "", ""),
        BAD_REQUEST(400, HTML + "Content-Length: 7\r\n", "broken\n"),
        EMPTY_BAD_REQUEST(400, "Content-Length: 0\r\n", ""),
        UNAUTHORIZED(401, "Content-Length: 0\r\n", ""),
        NOT_FOUND(404, HTML + "Content-Length: 8\r\n", "broken\n\n"),
        NOT_FOUND_AS_STREAM(404, STREAM + "Content-Length: 23\r\n", StandinServer.eventText(8)),
        CONFLICT(409, "Content-Length: 0\r\n", ""),
        GONE(410, "Content-Length: 0\r\n", ""),
        MISDIRECTED(421, "Not-Executed: 1\r\nContent-Length: 0\r\n", ""),
        TOO_MANY(429, HTML + "Content-Length: 7\r\n", "broken\n"),
        TOO_MANY_NOT_RUN(429, "Not-Executed: 1\r\nContent-Length: 0\r\n", ""),
        SERVER_ERROR(500, HTML + "Content-Length: 7\r\n", "broken\n"),
        EMPTY_SERVER_ERROR(500, "Content-Length: 0\r\n", ""),
        SERVER_ERROR_AS_STREAM(500, STREAM + "Content-Length: 23\r\n", StandinServer.eventText(8)),
        BAD_GATEWAY(502, HTML + "Transfer-Encoding: chunked\r\n", "7\r\nbroken\n\r\n0\r\n\r\n"),
        UNAVAILABLE(503, HTML + "Content-Length: 7\r\n", "broken\n"),
        UNAVAILABLE_NOT_RUN(503, "Not-Executed: 1\r\nContent-Length: 0\r\n", ""),
        TIMED_OUT(504, HTML, "broken\n");

        private final int status;
        private final String headers;
        private final String body;

        Continuation(int status, String headers, String body) {
            this.status = status;
            this.headers = headers;
            this.body = body;
        }

        void send(RawUpstream.Connection connection, StandinServer.Request request) throws IOException {
            connection.sendBytes(StandinServer.answerHead(status, request, headers) + body);
        }
    }

    @BeforeClass
    public void start() {
        answers = new BrokenAnswers();
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        answers.close();
    }

    @DataProvider
    public Object[][] continuations() {
        return forEachBreak(Continuation.values());
    }

    /** Guards against an answer that is no continuation and ends a stream as complete, or gets among its events. */
    @Test(dataProvider = "continuations")
    public void streamThatIsNotContinuedIsCutAfterItsLastEvent(Continuation continuation, Break broken) {
        assertCutAfterLastEvent(RequestKind.RESUMABLE_STREAM, broken, continuation::send);
    }

    @DataProvider
    public Object[][] brokenHeads() {
        return forEachBreak(BrokenHead.values());
    }

    @Test(dataProvider = "brokenHeads")
    public void streamThatBrokenHeadFollowsIsCutAfterItsLastEvent(BrokenHead head, Break broken) {
        assertCutAfterLastEvent(
                RequestKind.RESUMABLE_STREAM,
                broken,
                (connection, request) -> connection.sendBytes(
                        head.text("Attempt-Id: " + request.id() + "\r\nResponse-Signature: signed\r\n" + STREAM)));
    }

    @DataProvider
    public Object[][] breaks() {
        return Stream.of(Break.values()).map(broken -> new Object[] {broken}).toArray(Object[][]::new);
    }

    /** Guards against a head that is cut at some byte and looks like an empty continuation. */
    @Test(dataProvider = "breaks")
    public void streamThatCutHeadFollowsIsCutAfterItsLastEvent(Break broken) {
        String head = "HTTP/1.1 200 OK\r\n" + STREAM + "Content-Length: 0\r\n\r\n";
        for (int length = 0; length < head.length(); length++) {
            String part = head.substring(0, length);
            assertCutAfterLastEvent(
                    RequestKind.RESUMABLE_STREAM, broken, (connection, request) -> connection.sendBytes(part));
        }
    }

    /** Guards against a second server that is asked for a stream which may not be resumed. */
    @Test(dataProvider = "breaks")
    public void streamThatMayNotBeResumedIsCutWhereItBreaks(Break broken) {
        answers.serveSuccessfully(RequestKind.UNRESUMABLE_STREAM);
        answers.setBehaviour(
                RequestKind.UNRESUMABLE_STREAM, (connection, request) -> breakOff(connection, request, broken));
        assertEquals(receive(RequestKind.UNRESUMABLE_STREAM), BrokenAnswers.events(FIRST_PART) + broken.rest);
        assertEquals(answers.runs(), 1);
    }

    /** Guards against a check that rejects a true continuation. */
    @Test(dataProvider = "breaks")
    public void streamIsContinuedToItsEnd(Break broken) {
        RequestKind kind = RequestKind.RESUMABLE_STREAM;
        answers.serveSuccessfully(kind);
        answers.answerFirst(kind, (connection, request) -> breakOff(connection, request, broken));
        assertEquals(answers.request(kind), BrokenAnswers.sound(kind));
    }

    private void assertCutAfterLastEvent(RequestKind kind, Break broken, Answer next) {
        answers.serveSuccessfully(kind);
        answers.setBehaviour(kind, (connection, request) -> {
            if (request.lastEventId() > 0) {
                next.send(connection, request);
                return false;
            }
            return breakOff(connection, request, broken);
        });
        assertEquals(
                receive(kind),
                BrokenAnswers.events(FIRST_PART),
                answers.logged().toString());
        assertTrue(answers.runs() >= 2, "the stream was not resumed: " + answers.logged());
    }

    /** Returns the body of an answer that is visibly cut. */
    private String receive(RequestKind kind) {
        StringBuilder received = new StringBuilder();
        assertEquals(
                answers.request(kind, "{}", received),
                BrokenAnswers.CUT,
                answers.logged().toString());
        return received.toString();
    }

    /** Sends whole events and breaks the stream off. */
    private static boolean breakOff(RawUpstream.Connection connection, StandinServer.Request request, Break broken)
            throws IOException {
        connection.sendBytes(StandinServer.answerHead(200, request, STREAM + "Transfer-Encoding: chunked\r\n"));
        StandinServer.sendChunk(connection, BrokenAnswers.events(FIRST_PART) + broken.rest);
        Deployment.pause(10);
        if (broken.reset) {
            connection.reset();
        }
        return false;
    }

    private static Object[][] forEachBreak(Object[] rows) {
        return Arrays.stream(rows)
                .flatMap(row -> Stream.of(Break.values()).map(broken -> new Object[] {row, broken}))
                .toArray(Object[][]::new);
    }

    /** Sends an answer. */
    @FunctionalInterface
    private interface Answer {
        void send(RawUpstream.Connection connection, StandinServer.Request request) throws IOException;
    }
}
