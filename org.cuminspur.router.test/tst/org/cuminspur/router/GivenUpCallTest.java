package org.cuminspur.router;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.cuminspur.http.client.CallFault;
import org.cuminspur.http.client.Cancellation;
import org.cuminspur.http.client.HttpCall;
import org.cuminspur.http.client.HttpClient;
import org.cuminspur.http.client.HttpResponse;
import org.cuminspur.standin.raw.RawUpstream;
import org.cuminspur.standin.users.CutLink;
import org.cuminspur.time.Clock;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks that a call which was given up never arrives; calls to the store and the own interface's requests are such calls. */
public class GivenUpCallTest {
    private static final long CONNECT_TIMEOUT_MS = 1_000;
    private static final long TIMEOUT_MS = 400;
    private static final long ARRIVAL_MS = 500;

    private List<String> received;
    private List<String> ends;
    private RawUpstream upstream;
    private CutLink link;
    private HttpClient http;

    @BeforeMethod
    public void start() {
        // Connections of the test before may end only now, and are none of this one's.
        List<String> receivedNow = new CopyOnWriteArrayList<>();
        List<String> endsNow = new CopyOnWriteArrayList<>();
        received = receivedNow;
        ends = endsNow;
        upstream = new RawUpstream(connection -> {
            for (String head = connection.readRequest(); !head.isEmpty(); head = connection.readRequest()) {
                receivedNow.add(head.split(" ")[1]);
                connection.sendAnswers("done");
            }
            endsNow.add("in order");
        });
        link = new CutLink(upstream.port());
        http = new HttpClient(Clock.system(), 1, CONNECT_TIMEOUT_MS);
        assertTrue(call("/before").isRight());
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        http.close();
        link.close();
        upstream.close();
    }

    @DataProvider
    public Object[][] bodies() {
        return new Object[][] {{0}, {1_000}, {1_000_000}};
    }

    @Test(dataProvider = "bodies")
    public void timedOutCallNeverArrives(int bytes) throws InterruptedException {
        link.mode(CutLink.Mode.HANG);
        assertEquals(http.call(write("/held", bytes), TIMEOUT_MS), Either.left(CallFault.TIMED_OUT));
        assertNothingArrives();
    }

    @Test
    public void cancelledCallNeverArrives() throws InterruptedException {
        link.mode(CutLink.Mode.HANG);
        Cancellation cancellation = new Cancellation();
        Thread canceller = new Thread(() -> {
            pause(TIMEOUT_MS);
            cancellation.cancel();
        });
        canceller.start();
        assertTrue(http.open(write("/held", 2), 10 * TIMEOUT_MS, cancellation).isLeft());
        assertNothingArrives();
    }

    @Test
    public void idleConnectionIsClosedInOrder() {
        // The connection falls idle just after its call has returned.
        pause(TIMEOUT_MS);
        http.close();
        pause(ARRIVAL_MS);
        assertEquals(ends, List.of("in order"));
    }

    private void assertNothingArrives() {
        pause(TIMEOUT_MS);
        link.mode(CutLink.Mode.WHOLE);
        pause(ARRIVAL_MS);
        assertEquals(received, List.of("/before"));
        assertTrue(call("/after").isRight());
        assertEquals(received, List.of("/before", "/after"));
    }

    private HttpCall write(String path, int bytes) {
        return new HttpCall("POST", "127.0.0.1", link.port(), path, List.of(), new byte[bytes], false);
    }

    private Either<CallFault, HttpResponse> call(String path) {
        return http.call(write(path, 2), CONNECT_TIMEOUT_MS);
    }

    private static void pause(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
