package org.cuminspur.router;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.io.IOException;
import java.util.List;
import java.util.stream.IntStream;
import org.cuminspur.http.client.CallFault;
import org.cuminspur.http.client.HttpResponse;
import org.cuminspur.http.client.HttpResponseStream;
import org.cuminspur.standin.raw.RawUpstream;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * Checks end to end that callers never take a truncated or foreign answer for their own complete one.
 *
 * <p>Upstreams cut, delay, freeze or misframe their answers, and callers disconnect or stop reading.
 */
public class WholeAnswerTest {
    private static final int TOKENS = 40;
    private static final int CALLERS = 8;

    private final RouterFleetFixture fleet = new RouterFleetFixture();
    private RawUpstream stock;

    @BeforeClass
    public void start() {
        stock = new RawUpstream(this::serve);
        fleet.processes()
                .startUpstream(
                        "engine",
                        "engine-1",
                        "appraisal",
                        "noord-a",
                        "--answer-tokens",
                        Integer.toString(TOKENS),
                        "--answer-token-ms",
                        "10");
        fleet.processes().listUpstream("stock-1", "stock", "noord-a", stock.port());
        fleet.start();
        fleet.awaitServed("GET", "/stock/ok", "");
        fleet.awaitServed("POST", "/v1/chat/completions", RouterFleetFixture.chatRequest("first"));
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        fleet.close();
        stock.close();
    }

    @Test
    public void droppedStreamIsResumedWithoutGapsOrDuplicates() {
        int before = fleet.counter("upstream_resumed");
        fleet.processes().setFaults("engine-1", "{\"cut_after\":5}");
        String stream = chat("lot 1");
        assertEquals(RouterFleetFixture.tokensIn(stream), RouterFleetFixture.expectedTokens("lot 1", TOKENS));
        assertTrue(stream.endsWith("data: [DONE]\n\n"), stream);
        assertEquals(fleet.counter("upstream_resumed") - before, 1);
    }

    @Test
    public void concurrentCallersGetTheirOwnTokensFromResumedStreams() {
        fleet.processes().setFaults("engine-1", "{\"cut_after\":7}");
        List<HttpResponseStream> streams = IntStream.range(0, CALLERS)
                .mapToObj(
                        i -> fleet.open("POST", "/v1/chat/completions", RouterFleetFixture.chatRequest("caller " + i)))
                .toList();
        for (int i = 0; i < CALLERS; i++) {
            String stream = RouterFleetFixture.readToEnd(streams.get(i));
            assertEquals(RouterFleetFixture.tokensIn(stream), RouterFleetFixture.expectedTokens("caller " + i, TOKENS));
        }
    }

    @Test
    public void answerThatIsTruncatedClosesTheCallersConnection() {
        try (HttpResponseStream answer = fleet.open("GET", "/stock/short", "")) {
            assertEquals(RouterFleetFixture.nextPiece(answer), "part");
            assertEquals(answer.next(10_000), Either.left(CallFault.BROKEN));
        }
    }

    @Test
    public void endChunkIsSentAlsoIfTheConnectionClosesAfterTheAnswer() throws Exception {
        try (RawCaller caller = new RawCaller(fleet.callerPort())) {
            caller.send(RawCaller.head("GET", "/stock/last", 0).replace("Host:", "Connection: close\r\nHost:"));
            assertTrue(caller.readAll().endsWith("/stock/last\r\n0\r\n\r\n"));
        }
        try (RawCaller caller = new RawCaller(fleet.callerPort())) {
            caller.send(RawCaller.head("GET", "/stock/short", 0).replace("Host:", "Connection: close\r\nHost:"));
            assertFalse(caller.readAll().endsWith("0\r\n\r\n"));
        }
    }

    @Test
    public void lateAnswerIsRefusedAndNotGivenToAnotherRequest() {
        int connections = stock.connectionCount();
        HttpResponse late = fleet.request("GET", "/lots/late", "");
        assertEquals(late.status(), 504);
        assertTrue(late.text().contains("\"run_state\":\"unknown\""), late.text());
        assertEquals(stock.awaitEvent(), "RESET /lots/late");
        assertEquals(fleet.request("GET", "/stock/own", "").text(), "/stock/own");
        assertTrue(stock.connectionCount() > connections);
    }

    @Test
    public void callersDisconnectWhileWaitingCancelsTheUpstreamRequest() throws Exception {
        try (RawCaller caller = new RawCaller(fleet.callerPort())) {
            caller.request("GET", "/stock/wait", "");
            assertEquals(stock.awaitEvent(), "reached /stock/wait");
        }
        assertEquals(stock.awaitEvent(), "RESET /stock/wait");
    }

    @Test
    public void callersDisconnectDuringAStreamCancelsTheEnginesRequest() {
        int before = cancelled();
        try (HttpResponseStream answer =
                fleet.open("POST", "/v1/chat/completions", RouterFleetFixture.chatRequest("leaving"))) {
            assertFalse(RouterFleetFixture.nextPiece(answer).isEmpty());
        }
        int polls = 0;
        while (cancelled() == before && polls < TOKENS * 100) {
            polls++;
        }
        assertEquals(cancelled() - before, 1);
    }

    @Test
    public void callerThatDoesNotReadIsDisconnectedSoonAfterTheDeadline() throws Exception {
        try (RawCaller caller = new RawCaller(fleet.callerPort())) {
            caller.request("GET", "/lots/endless", "");
            assertEquals(stock.awaitEvent(), "failed");
        }
    }

    @Test
    public void requestsPipelinedOnAConnectionAreServedInOrder() throws Exception {
        try (RawCaller caller = new RawCaller(fleet.callerPort())) {
            caller.request("GET", "/stock/one", "");
            caller.request("GET", "/stock/two", "");
            caller.request("GET", "/stock/three", "");
            assertTrue(caller.readUntil("/stock/one").startsWith("HTTP/1.1 200"));
            caller.readUntil("/stock/two");
            caller.readUntil("/stock/three");
        }
    }

    @Test
    public void refusalReportsNotRunOnlyIfTheUpstreamGuaranteesIt() {
        HttpResponse notRun = fleet.request("GET", "/stock/promised", "");
        assertEquals(notRun.status(), 503);
        assertTrue(notRun.text().contains("\"run_state\":\"not-run\""), notRun.text());
        HttpResponse busy = fleet.request("GET", "/stock/busy", "");
        assertEquals(busy.status(), 503);
        assertTrue(busy.text().contains("\"run_state\":\"unknown\""), busy.text());
    }

    @Test
    public void answersOfAFrozenEngineMissTheDeadlineAndReachNoOtherCaller() {
        fleet.processes().process("engine-1").freeze();
        String quick = RouterFleetFixture.chatRequest("frozen").replace("\"appraisal\"", "\"quick\"");
        HttpResponse late = fleet.request("POST", "/v1/chat/completions", quick);
        fleet.processes().process("engine-1").resume();
        assertEquals(late.status(), 504);
        assertTrue(late.text().contains("\"run_state\":\"unknown\""), late.text());
        for (int i = 0; i < CALLERS; i++) {
            assertEquals(
                    RouterFleetFixture.tokensIn(chat("woken " + i)),
                    RouterFleetFixture.expectedTokens("woken " + i, TOKENS));
        }
    }

    @Test(priority = 1)
    public void streamOfAKilledEngineEndsWithAnErrorEvent() {
        HttpResponseStream answer =
                fleet.open("POST", "/v1/chat/completions", RouterFleetFixture.chatRequest("killed"));
        String firstPiece = RouterFleetFixture.nextPiece(answer);
        fleet.processes().process("engine-1").kill();
        String stream = firstPiece + RouterFleetFixture.readToEnd(answer);
        assertFalse(stream.contains("[DONE]"), stream);
        assertTrue(stream.contains("event: error\ndata: {\"error\":{\"type\":\"upstream-broke\""), stream);
    }

    private String chat(String message) {
        return RouterFleetFixture.readToEnd(
                fleet.open("POST", "/v1/chat/completions", RouterFleetFixture.chatRequest(message)));
    }

    private int cancelled() {
        int port = fleet.processes().port("engine-1");
        String counts = fleet.processes().call("GET", port, "/counts", "").text();
        return Integer.parseInt(counts.replaceAll(".*\"cancelled\":(\\d+).*", "$1"));
    }

    /** Answers in the way that the last segment of the path names. */
    private void serve(RawUpstream.Connection connection) throws IOException {
        for (String head = connection.readRequest(); !head.isEmpty(); head = connection.readRequest()) {
            String path = head.split(" ")[1];
            String name = path.substring(path.lastIndexOf('/') + 1);
            switch (name) {
                case "short" -> {
                    connection.send("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart");
                    return;
                }
                case "late" -> {
                    stock.recordEvent(connection.awaitClose() + " " + path);
                    return;
                }
                case "wait" -> {
                    stock.recordEvent("reached " + path);
                    stock.recordEvent(connection.awaitClose() + " " + path);
                    return;
                }
                case "endless" -> {
                    connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                    while (true) {
                        connection.send("1000\r\n" + "x".repeat(0x1000) + "\r\n");
                    }
                }
                case "promised" ->
                    connection.send("HTTP/1.1 503 Busy\r\nCuminspur-Run-State: not-run\r\n"
                            + "Retry-After: 7\r\nContent-Length: 0\r\n\r\n");
                case "busy" -> connection.send("HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy");
                default -> connection.sendAnswers(path);
            }
        }
    }
}
