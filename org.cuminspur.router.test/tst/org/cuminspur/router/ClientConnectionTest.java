package org.cuminspur.router;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.cuminspur.http.client.CallFault;
import org.cuminspur.http.client.HttpCall;
import org.cuminspur.http.client.HttpClient;
import org.cuminspur.http.client.HttpResponse;
import org.cuminspur.http.client.HttpResponseStream;
import org.cuminspur.standin.raw.RawUpstream;
import org.cuminspur.time.Clock;
import org.testng.annotations.AfterClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks that the HTTP client never returns a truncated answer or one that belongs to another request. */
public class ClientConnectionTest {
    private static final long TIMEOUT_MS = 10_000;
    private static final long SHORT_TIMEOUT_MS = 300;
    private static final int LARGE_BYTES = 8 * 1_024 * 1_024;

    private final HttpClient http = new HttpClient(Clock.system(), 1, TIMEOUT_MS);

    @AfterClass(alwaysRun = true)
    public void stop() {
        http.close();
    }

    @DataProvider
    private static Object[][] truncatedAnswers() {
        return new Object[][] {
            {"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart"},
            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"},
            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npa"},
            {"HTTP/1.1 200 OK\r\n\r\nno length, so the end cannot be told"},
            {"HTTP/1.1 200 OK\r\nContent-Le"},
        };
    }

    @Test(dataProvider = "truncatedAnswers")
    public void answerTruncatedByTheUpstreamIsReportedAsBroken(String sent) {
        try (RawUpstream upstream = new RawUpstream(connection -> {
            connection.readRequest();
            connection.send(sent);
        })) {
            assertEquals(get(upstream, "/", TIMEOUT_MS), Either.left(CallFault.BROKEN));
        }
    }

    @Test
    public void lateAnswerIsNotReturnedForTheNextRequest() {
        try (RawUpstream upstream = new RawUpstream(connection -> {
            String first = connection.readRequest();
            if (first.startsWith("GET /late")) {
                connection.awaitClose();
            }
            connection.sendAnswers(first.split(" ")[1]);
        })) {
            assertEquals(get(upstream, "/late", SHORT_TIMEOUT_MS), Either.left(CallFault.TIMED_OUT));
            assertEquals(get(upstream, "/own", TIMEOUT_MS).get().text(), "/own");
            assertEquals(upstream.connectionCount(), 2);
        }
    }

    @Test
    public void secondAnswerOnAConnectionIsNotReturnedForTheNextRequest() {
        try (RawUpstream upstream = new RawUpstream(connection -> {
            for (String head = connection.readRequest(); !head.isEmpty(); head = connection.readRequest()) {
                String path = head.split(" ")[1];
                connection.sendAnswers(path, "/foreign");
            }
        })) {
            for (int i = 0; i < 20; i++) {
                Either<CallFault, HttpResponse> answer = get(upstream, "/own-" + i, TIMEOUT_MS);
                assertTrue(answer.isLeft() || answer.get().text().equals("/own-" + i), answer.toString());
            }
        }
    }

    @Test
    public void connectionWithAnIncompletelyWrittenRequestIsNotReused() {
        try (RawUpstream upstream = new RawUpstream(connection -> {
            connection.readHead();
            connection.sendAnswers("early");
            connection.awaitClose();
        })) {
            HttpCall large =
                    new HttpCall("POST", "127.0.0.1", upstream.port(), "/", List.of(), new byte[LARGE_BYTES], false);
            http.call(large, TIMEOUT_MS);
            assertEquals(get(upstream, "/", TIMEOUT_MS).get().text(), "early");
            assertEquals(upstream.connectionCount(), 2);
        }
    }

    @DataProvider
    private static Object[][] answersBeforeClose() {
        return new Object[][] {
            {"Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"}, {"Content-Length: 5\r\n\r\nwhole"},
        };
    }

    @Test(dataProvider = "answersBeforeClose")
    public void answerBeforeConnectionCloseIsComplete(String framed) {
        try (RawUpstream upstream = new RawUpstream(connection -> {
            connection.readRequest();
            connection.send("HTTP/1.1 200 OK\r\nConnection: close\r\n" + framed);
        })) {
            for (int i = 0; i < 20; i++) {
                assertEquals(get(upstream, "/", TIMEOUT_MS).map(HttpResponse::text), Either.right("whole"));
            }
        }
    }

    @Test
    public void answersWithoutBodyIgnoreContentLength() {
        try (RawUpstream upstream = new RawUpstream(connection -> {
            connection.readRequest();
            connection.send("HTTP/1.1 304 Not Modified\r\nContent-Length: 100\r\n\r\n");
            connection.awaitClose();
        })) {
            assertEquals(get(upstream, "/", TIMEOUT_MS).get().status(), 304);
        }
    }

    @Test
    public void slowReaderGetsEveryByte() {
        String body = "0123456789abcdef".repeat(LARGE_BYTES / 16);
        try (RawUpstream upstream = new RawUpstream(connection -> {
            connection.readRequest();
            connection.sendAnswers(body);
            connection.awaitClose();
        })) {
            HttpResponseStream stream = http.open(HttpCall.get("127.0.0.1", upstream.port(), "/"), TIMEOUT_MS)
                    .get();
            StringBuilder read = new StringBuilder();
            for (byte[] piece = stream.next(TIMEOUT_MS).get();
                    piece.length > 0;
                    piece = stream.next(TIMEOUT_MS).get()) {
                read.append(new String(piece, StandardCharsets.US_ASCII));
            }
            assertTrue(read.toString().equals(body), "read " + read.length() + " of " + body.length());
        }
    }

    private Either<CallFault, HttpResponse> get(RawUpstream upstream, String path, long timeoutMillis) {
        return http.call(HttpCall.get("127.0.0.1", upstream.port(), path), timeoutMillis);
    }
}
