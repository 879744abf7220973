package org.cuminspur.router;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import org.cuminspur.standin.raw.RawUpstream;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks that each kind of invalid request gets its own error kind and counter and does not affect other requests. */
public class BadInputTest {
    private static final int LARGE_BODY_BYTES = 10_000;

    private final RouterFleetFixture fleet = new RouterFleetFixture();
    private RawUpstream stock;

    @BeforeClass
    public void start() {
        stock = new RawUpstream(connection -> {
            for (String head = connection.readRequest(); !head.isEmpty(); head = connection.readRequest()) {
                connection.sendAnswers(head.split(" ")[1]);
            }
        });
        fleet.processes().listUpstream("stock-1", "stock", "noord-a", stock.port());
        fleet.start("[callers]", "max-body = 4KB", "max-headers = 4KB", "body-timeout = 700ms", "");
        fleet.awaitServed("GET", "/stock/ok", "");
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        fleet.close();
        stock.close();
    }

    @DataProvider
    private static Object[][] badRequests() {
        String get = "GET /stock/lot HTTP/1.1\r\nHost: router\r\n";
        return new Object[][] {
            {
                "body-too-large",
                413,
                RawCaller.head("POST", "/stock/lot", LARGE_BODY_BYTES) + "x".repeat(LARGE_BODY_BYTES)
            },
            {"body-too-large", 413, RawCaller.head("POST", "/stock/lot", LARGE_BODY_BYTES)},
            {"headers-too-large", 431, get + "Note: " + "x".repeat(5_000) + "\r\n\r\n"},
            {"sender-too-slow", 408, RawCaller.head("POST", "/stock/lot", 100) + "part"},
            {"bad-request", 400, RawCaller.head("POST", "/v1/chat/completions", 9) + "{\"model\":"},
            {"bad-request", 400, RawCaller.head("POST", "/v1/chat/completions", 4) + "[{}]"},
            {"bad-request", 400, RawCaller.head("GET", "/stock/..%2fadmin", 0)},
            {"bad-request", 400, RawCaller.head("GET", "/stock/%2e%2e/admin", 0)},
            {"bad-request", 400, RawCaller.head("GET", "/stock/../admin", 0)},
            {"bad-request", 400, RawCaller.head("GET", "/stock//lot", 0)},
            {"bad-request", 400, RawCaller.head("GET", "/stock/lot;admin", 0)},
            {"unauthenticated", 401, get + "\r\n"},
        };
    }

    @Test(dataProvider = "badRequests")
    public void badRequestIsRefusedAndCountedUnderItsKind(String kind, int status, String sent) throws IOException {
        String counter = "refused_" + kind.replace('-', '_');
        int before = fleet.counter(counter);
        try (RawCaller good = new RawCaller(fleet.callerPort());
                RawCaller bad = new RawCaller(fleet.callerPort())) {
            good.send(RawCaller.head("POST", "/stock/beside", 4) + "in");
            bad.send(sent);
            good.send("fo");
            good.readUntil("/stock/beside");
            String answer = bad.readUntil("\"run_state\":\"not-run\"}}");
            assertTrue(answer.startsWith("HTTP/1.1 " + status), answer);
            assertTrue(answer.contains("Cuminspur-Error: " + kind), answer);
        }
        assertEquals(fleet.counter(counter) - before, 1);
    }

    @DataProvider
    private static Object[][] malformedHeads() {
        String get = "GET /stock/lot HTTP/1.1\r\nHost: router\r\n";
        return new Object[][] {
            {get + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
            {get + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"},
            {"GET /stock/lot\u0001 HTTP/1.1\r\nHost: router\r\n\r\n"},
            {"GET  HTTP/1.1\r\n\r\n"},
        };
    }

    @Test(dataProvider = "malformedHeads")
    public void malformedHeadIsRefusedAndClosesTheConnection(String sent) throws IOException {
        try (RawCaller bad = new RawCaller(fleet.callerPort())) {
            bad.send(sent);
            assertTrue(bad.readAll().startsWith("HTTP/1.1 400 "));
        }
        assertEquals(fleet.request("GET", "/stock/ok", "").status(), 200);
    }

    @Test
    public void slowHeadClosesTheConnectionAfterTheTimeout() throws IOException {
        try (RawCaller slow = new RawCaller(fleet.callerPort())) {
            slow.send("GET /stock/lot HTTP/1.1\r\nHost: rou");
            slow.readAll();
        }
        assertEquals(fleet.request("GET", "/stock/ok", "").status(), 200);
    }

    @Test
    public void upstreamGetsThePathUnchanged() {
        String path = "/stock/50%25%20wool%3F+x?lot=1%2F2";
        assertEquals(fleet.request("GET", path, "").text(), path);
    }

    @Test
    public void manySlowSendersOccupyNoWorkerThreads() throws IOException {
        RawCaller[] slow = new RawCaller[300];
        for (int i = 0; i < slow.length; i++) {
            slow[i] = new RawCaller(fleet.callerPort());
            slow[i].send(RawCaller.head("POST", "/stock/lot", 100) + "part");
        }
        assertEquals(fleet.request("GET", "/stock/ok", "").status(), 200);
        for (RawCaller caller : slow) {
            caller.close();
        }
    }
}
