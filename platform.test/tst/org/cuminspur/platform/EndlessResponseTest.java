package org.cuminspur.platform;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import org.cuminspur.standin.users.StandinCaller;
import org.cuminspur.standin.users.StandinServer;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks that bytes without end from a server end with their request, and hold up neither memory nor other requests. */
public class EndlessResponseTest {
    private static final long DEADLINE_MS = 1_500;

    /** Time after the deadline in which the connection to the server must be closed. */
    private static final long CLOSE_MS = 1_000;

    /** Time in which another request must be answered. */
    private static final long OTHER_MS = 1_000;

    /** Bytes that a request whose caller does not read, or that has no response yet, may take from a server. */
    private static final long MAX_BYTES = 16L * 1_024 * 1_024;

    private static final String FILLER = "x".repeat(1_000);
    private static final String CHUNK = Integer.toHexString(FILLER.length()) + "\r\n" + FILLER + "\r\n";
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";
    private static final String SUCCESS = "HTTP/1.1 200 OK\r\nAttempt-Id: flood\r\nResponse-Signature: signed\r\n";
    private static final String REFUSAL = "HTTP/1.1 503 Busy\r\nAttempt-Id: flood\r\nNot-Executed: 1\r\n";

    private Deployment deployment;
    private AtomicLong bytesSent;
    private CountDownLatch closed;

    @BeforeClass
    public void start() {
        deployment = new Deployment();
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        deployment.close();
    }

    /** What a server sends without end: how the bytes start, and what repeats. */
    enum Flood {
        HEAD("HTTP/1.1 200 OK\r\n", "X-Filler: " + FILLER + "\r\n"),
        HEAD_LINE("HTTP/1.1 200 OK\r\nX-Filler: ", FILLER),
        NO_RESPONSE("", FILLER),
        INTERIM_HEADS("", "HTTP/1.1 100 Continue\r\nX-Filler: " + FILLER + "\r\n\r\n"),
        CHUNKED_BODY(SUCCESS + CHUNKED, CHUNK),
        CHUNK_EXTENSION(SUCCESS + CHUNKED + "1;x=", FILLER),
        TRAILER_LINE(SUCCESS + CHUNKED + CHUNK + "0\r\nX-Filler: ", FILLER),
        TRAILERS(SUCCESS + CHUNKED + CHUNK + "0\r\n", "X-Filler: " + FILLER + "\r\n"),
        UNFRAMED_BODY(SUCCESS + "\r\n", FILLER),
        CHUNKED_REFUSAL(REFUSAL + CHUNKED, CHUNK),
        UNFRAMED_REFUSAL(REFUSAL + "\r\n", FILLER);

        private final String start;
        private final String repeated;

        Flood(String start, String repeated) {
            this.start = start;
            this.repeated = repeated;
        }
    }

    @DataProvider
    public Object[][] floods() {
        return Stream.of(Flood.values()).map(flood -> new Object[] {flood}).toArray(Object[][]::new);
    }

    @Test(dataProvider = "floods")
    public void floodEndsWithItsRequestAndHoldsUpNoOther(Flood flood) throws Exception {
        assertEndsWithItsRequest(flood);
    }

    @Test(dataProvider = "floods")
    public void floodTakesBoundedMemoryIfTheCallerDoesNotRead(Flood flood) throws Exception {
        assertTakesBoundedMemory(flood);
    }

    private void assertEndsWithItsRequest(Flood flood) throws Exception {
        send(flood);
        try (StandinCaller caller = deployment.caller()) {
            caller.post("/book/x", "flood", "Deadline-Ms: " + DEADLINE_MS + "\r\n");
            Deployment.pause(DEADLINE_MS / 2);
            assertOtherRequestIsServed();
            assertTrue(
                    closed.await(DEADLINE_MS / 2 + CLOSE_MS, TimeUnit.MILLISECONDS),
                    "the server can still send, " + bytesSent + " bytes so far");
            assertOtherRequestIsServed();
        }
    }

    private void assertTakesBoundedMemory(Flood flood) throws Exception {
        send(flood);
        try (StandinCaller caller = deployment.caller()) {
            caller.post("/book/x", "flood", "Deadline-Ms: " + DEADLINE_MS + "\r\n");
            closed.await(DEADLINE_MS + CLOSE_MS, TimeUnit.MILLISECONDS);
            assertTrue(bytesSent.get() <= MAX_BYTES, bytesSent + " bytes were taken");
        }
    }

    private void assertOtherRequestIsServed() throws IOException {
        long startNanos = System.nanoTime();
        int status = deployment.post("/draft/x", "other", "").status();
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        assertTrue(status == 200 && millis <= OTHER_MS, "status " + status + " after " + millis + " ms");
    }

    private void send(Flood flood) {
        AtomicLong sent = new AtomicLong();
        CountDownLatch ended = new CountDownLatch(1);
        bytesSent = sent;
        closed = ended;
        StandinServer.Behaviour behaviour = (connection, request) -> {
            try {
                connection.send(flood.start);
                while (true) {
                    connection.send(flood.repeated);
                    sent.addAndGet(flood.repeated.length());
                }
            } catch (IOException e) {
                ended.countDown();
                return false;
            }
        };
        List.of(deployment.appA, deployment.appB).forEach(server -> server.setBehaviour(behaviour));
    }
}
