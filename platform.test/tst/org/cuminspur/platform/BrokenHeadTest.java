package org.cuminspur.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.cuminspur.standin.raw.BrokenBody;
import org.cuminspur.standin.raw.BrokenHead;
import org.cuminspur.standin.raw.OddResponse;
import org.cuminspur.standin.raw.RawUpstream;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks for each kind of request what its caller gets if a server's answer is not valid, or is unusual. */
public class BrokenHeadTest {
    /** Time between bytes that are sent one by one. */
    private static final long PIECE_MS = 1;

    /** Bytes that are sent one by one at most. */
    private static final int MAX_SINGLE_BYTES = 300;

    private BrokenAnswers answers;

    @BeforeClass
    public void start() {
        answers = new BrokenAnswers();
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        answers.close();
    }

    @DataProvider
    public Object[][] heads() {
        return forEachKind(BrokenHead.values());
    }

    /** Guards against a broken answer that reaches a caller, or that ends the caller's connection without an answer. */
    @Test(dataProvider = "heads")
    public void answerWithBrokenHeadIsNone(BrokenHead head, RequestKind kind) {
        answers.serveSuccessfully(kind);
        answers.answerFirst(kind, (connection, request) -> {
            connection.sendBytes(head.text(BrokenAnswers.headers(kind, request)));
            answers.recordEnd(connection);
            return false;
        });
        assertEquals(answers.request(kind), BrokenAnswers.repeatedOrFailed(kind));
        assertEquals(answers.runs(), kind.mayRepeat() ? 2 : 1);
        answers.awaitEnd();
        assertReasonIsLogged();
    }

    @DataProvider
    public Object[][] headsAlone() {
        return Arrays.stream(BrokenHead.values())
                .map(head -> new Object[] {head})
                .toArray(Object[][]::new);
    }

    /** Guards against a check that sees the bytes of one read only. */
    @Test(dataProvider = "headsAlone")
    public void brokenHeadThatComesByteByByteIsNone(BrokenHead head) {
        RequestKind kind = RequestKind.UNREPEATABLE;
        answers.serveSuccessfully(kind);
        answers.answerFirst(kind, (connection, request) -> {
            sendByteByByte(connection, head.text(BrokenAnswers.headers(kind, request)));
            return false;
        });
        assertEquals(answers.request(kind), "502");
    }

    @DataProvider
    public Object[][] bodies() {
        return forEachKind(BrokenBody.values());
    }

    @Test(dataProvider = "bodies")
    public void answerWithBrokenChunksIsNone(BrokenBody body, RequestKind kind) {
        answers.serveSuccessfully(kind);
        answers.answerFirst(kind, (connection, request) -> {
            connection.sendBytes("HTTP/1.1 200 OK\r\n" + BrokenAnswers.headers(kind, request) + BrokenBody.HEADER
                    + "\r\n" + body.text());
            return false;
        });
        assertEquals(
                answers.request(kind),
                body.isValidUpToItsEnd() ? BrokenAnswers.CUT : BrokenAnswers.repeatedOrFailed(kind));
    }

    /** Guards against a broken body that looks complete, and against an event of a stream that is passed on in part. */
    @Test(dataProvider = "bodies")
    public void answerWhoseLaterChunksAreBrokenIsIncomplete(BrokenBody body, RequestKind kind) {
        assertEndsAfterFirstEvents(body, kind, 20);
    }

    /** Guards against events that are lost, and a stream that is not resumed, as broken bytes come in the same read. */
    @Test(dataProvider = "bodies")
    public void eventsBeforeBrokenChunksArePassedOn(BrokenBody body, RequestKind kind) {
        assertEndsAfterFirstEvents(body, kind, 0);
    }

    private void assertEndsAfterFirstEvents(BrokenBody body, RequestKind kind, long pauseMillis) {
        answers.serveSuccessfully(kind);
        String first = BrokenAnswers.events(3);
        String chunk = Integer.toHexString(first.length()) + "\r\n" + first + "\r\n";
        answers.answerFirst(kind, (connection, request) -> {
            connection.sendBytes(
                    "HTTP/1.1 200 OK\r\n" + BrokenAnswers.headers(kind, request) + BrokenBody.HEADER + "\r\n");
            Deployment.pause(20);
            if (pauseMillis > 0) {
                connection.sendBytes(chunk);
                Deployment.pause(pauseMillis);
                connection.sendBytes(body.text());
            } else {
                connection.sendBytes(chunk + body.text());
            }
            return false;
        });
        assertEquals(
                answers.request(kind),
                kind == RequestKind.RESUMABLE_STREAM ? BrokenAnswers.sound(kind) : BrokenAnswers.CUT,
                answers.logged().toString());
    }

    @DataProvider
    public Object[][] oddResponses() {
        return forEachKind(OddResponse.values());
    }

    /** Guards against a check that rejects what is valid. */
    @Test(dataProvider = "oddResponses")
    public void unusualAnswerIsPassedOn(OddResponse response, RequestKind kind) {
        answers.serveSuccessfully(kind);
        answers.setBehaviour(kind, (connection, request) -> {
            connection.sendBytes(response.text(
                    "Attempt-Id: " + request.id() + "\r\nResponse-Signature: signed\r\nContent-Type: text/plain\r\n"));
            return !response.isEndedByClose();
        });
        assertEquals(answers.request(kind), response.status() + " " + response.expectedBody());
        assertEquals(answers.runs(), 1);
    }

    @DataProvider
    public Object[][] oddResponsesAlone() {
        return Arrays.stream(OddResponse.values())
                .map(response -> new Object[] {response})
                .toArray(Object[][]::new);
    }

    /** Guards against a head that is complete only if it comes in one read. */
    @Test(dataProvider = "oddResponsesAlone")
    public void unusualAnswerThatComesByteByByteIsPassedOn(OddResponse response) {
        RequestKind kind = RequestKind.UNREPEATABLE;
        answers.serveSuccessfully(kind);
        answers.setBehaviour(kind, (connection, request) -> {
            sendByteByByte(connection, response.text(BrokenAnswers.headers(kind, request)));
            return !response.isEndedByClose();
        });
        assertEquals(answers.request(kind), response.status() + " " + response.expectedBody());
    }

    /** Guards against a server that stays in use although all its answers are broken. */
    @Test
    public void serverWhoseAnswersAreBrokenIsLeftOut() {
        answers.serveSuccessfully(RequestKind.REPEATABLE);
        answers.deployment.events.clear();
        answers.deployment.appA.setBehaviour((connection, request) -> {
            connection.sendBytes(BrokenHead.STATUS_000.text(BrokenAnswers.headers(RequestKind.REPEATABLE, request)));
            return false;
        });
        Deployment.await("left out", () -> {
            answers.request(RequestKind.REPEATABLE);
            return answers.deployment.hasLogged("upstream-left-out");
        });
        assertTrue(
                answers.deployment.events.stream()
                        .filter(line -> line.startsWith("upstream-left-out "))
                        .allMatch(line -> line.contains("app-a")),
                "another server was left out");
    }

    /** Sends long values in one piece. */
    private static void sendByteByByte(RawUpstream.Connection connection, String text) throws IOException {
        connection.socket().setTcpNoDelay(true);
        int pieces = Math.min(text.length(), MAX_SINGLE_BYTES);
        for (char next : text.substring(0, pieces).toCharArray()) {
            connection.sendBytes(String.valueOf(next));
            Deployment.pause(PIECE_MS);
        }
        connection.sendBytes(text.substring(pieces));
    }

    private void assertReasonIsLogged() {
        List<String> failed = answers.logged("attempt-failed");
        assertEquals(failed.size(), 1, failed.toString());
        assertTrue(failed.get(0).contains("how, invalid, "), failed.get(0));
        assertTrue(failed.get(0).contains("InvalidResponseException: "), failed.get(0));
        assertTrue(failed.get(0).chars().allMatch(next -> next >= ' ' && next < 0x7f), failed.get(0));
    }

    private static Object[][] forEachKind(Object[] rows) {
        return Arrays.stream(rows)
                .flatMap(row -> Stream.of(RequestKind.values()).map(kind -> new Object[] {row, kind}))
                .toArray(Object[][]::new);
    }
}
