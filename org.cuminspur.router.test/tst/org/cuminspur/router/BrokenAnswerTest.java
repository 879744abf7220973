package org.cuminspur.router;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.cuminspur.standin.raw.BrokenBody;
import org.cuminspur.standin.raw.BrokenHead;
import org.cuminspur.standin.raw.RawUpstream;
import org.cuminspur.standin.users.StandinCaller;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks with a real process what callers of its own interface get if an upstream's answer is not valid. */
public class BrokenAnswerTest {
    private static final String SOUND = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound";

    /** Which of the two depends on whether a part of the answer was passed on before it ended. */
    private static final List<String> CUT_OR_FAILED = List.of("cut", "502");

    private final RouterFleetFixture fleet = new RouterFleetFixture();
    private final AtomicInteger runs = new AtomicInteger();
    private final AtomicInteger keys = new AtomicInteger();
    private volatile String answer = SOUND;
    private RawUpstream stock;

    @BeforeClass
    public void start() {
        stock = new RawUpstream(connection -> {
            for (String head = connection.readRequest(); !head.isEmpty(); head = connection.readRequest()) {
                runs.addAndGet(head.startsWith("POST ") ? 1 : 0);
                connection.sendBytes(answer);
                if (!answer.equals(SOUND)) {
                    return;
                }
            }
        });
        fleet.processes().listUpstream("stock-1", "stock", "noord-a", stock.port());
        fleet.start();
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        fleet.close();
        stock.close();
    }

    /** Keeps failures of earlier cases from ejecting the upstream. */
    @BeforeMethod
    public void serveSuccessfully() {
        answer = SOUND;
        fleet.awaitServed("GET", "/stock/sound", "");
        runs.set(0);
    }

    @DataProvider
    public Object[][] broken() {
        Stream<Object[]> heads =
                Stream.of(BrokenHead.values()).map(head -> new Object[] {head.name(), head.text(""), List.of("502")});
        Stream<Object[]> bodies = Stream.of(BrokenBody.values()).map(body -> new Object[] {
            body.name(),
            "HTTP/1.1 200 OK\r\n" + BrokenBody.HEADER + "\r\n" + body.text(),
            body.isValidUpToItsEnd() ? CUT_OR_FAILED : List.of("502")
        });
        return Stream.concat(heads, bodies).toArray(Object[][]::new);
    }

    /** Guards against a broken answer that is passed on or kept, and against a second run. */
    @Test(dataProvider = "broken")
    public void brokenAnswerToUnrepeatableRequestIsNone(String name, String broken, List<String> expected)
            throws Exception {
        answer = broken;
        String result = result("POST", "/orders/x", "Idempotency-Key: key-" + keys.incrementAndGet() + "\r\n");
        assertTrue(expected.contains(result), result);
        assertEquals(runs.get(), 1);
    }

    @Test(dataProvider = "broken")
    public void brokenAnswerToRepeatableRequestIsNone(String name, String broken, List<String> expected)
            throws Exception {
        answer = broken;
        String result = result("GET", "/stock/x", "");
        assertTrue(expected.contains(result), result);
    }

    private String result(String method, String path, String headers) throws IOException {
        try (StandinCaller caller = new StandinCaller(fleet.callerPort())) {
            caller.send(RawCaller.head(method, path, 0).replace("HTTP/1.1\r\n", "HTTP/1.1\r\n" + headers));
            StandinCaller.Answer got = caller.readAnswer();
            assertFalse(got.body().contains(BrokenHead.MARK), got.body());
            return Integer.toString(got.status());
        } catch (IOException e) {
            // The answer ended before its framing says so.
            return "cut";
        }
    }
}
