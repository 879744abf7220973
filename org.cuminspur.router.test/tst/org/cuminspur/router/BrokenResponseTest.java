package org.cuminspur.router;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.cuminspur.http.client.CallFault;
import org.cuminspur.http.client.HttpCall;
import org.cuminspur.http.client.HttpClient;
import org.cuminspur.http.client.HttpResponse;
import org.cuminspur.http.platform.EtcdStore;
import org.cuminspur.http.platform.PlatformAddress;
import org.cuminspur.standin.raw.BrokenBody;
import org.cuminspur.standin.raw.BrokenHead;
import org.cuminspur.standin.raw.OddResponse;
import org.cuminspur.standin.raw.RawUpstream;
import org.cuminspur.store.StoreFault;
import org.cuminspur.store.StoreView;
import org.cuminspur.time.Clock;
import org.testng.annotations.AfterClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks that a response which is not valid is none, for all that call other processes with the HTTP client. */
public class BrokenResponseTest {
    private static final long TIMEOUT_MS = 5_000;

    private final HttpClient http = new HttpClient(Clock.system(), 1, TIMEOUT_MS);

    @AfterClass(alwaysRun = true)
    public void stop() {
        http.close();
    }

    @DataProvider
    public Object[][] broken() {
        Stream<Object[]> heads = Stream.of(BrokenHead.values()).map(head -> new Object[] {head.name(), head.text("")});
        Stream<Object[]> bodies = Stream.of(BrokenBody.values()).map(body ->
                new Object[] {body.name(), "HTTP/1.1 200 OK\r\n" + BrokenBody.HEADER + "\r\n" + body.text()});
        return Stream.concat(heads, bodies).toArray(Object[][]::new);
    }

    @Test(dataProvider = "broken")
    public void brokenResponseIsReportedAsBrokenConnection(String name, String response) {
        assertEquals(call(response, "GET"), Either.left(CallFault.BROKEN));
    }

    /** Guards against a read that takes a broken response for an empty store or for another state. */
    @Test(dataProvider = "broken")
    public void brokenResponseOfTheStoreSaysNothing(String name, String response) throws InterruptedException {
        try (RawUpstream store = answering(response)) {
            BlockingQueue<Either<StoreFault, StoreView>> views = new LinkedBlockingQueue<>();
            EtcdStore client = new EtcdStore(http, new PlatformAddress("127.0.0.1", store.port()), TIMEOUT_MS);
            client.range("prefix", views::add);
            assertTrue(views.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS).isLeft());
            client.close();
        }
    }

    @DataProvider
    public Object[][] odd() {
        return Stream.of(OddResponse.values())
                .map(response -> new Object[] {response})
                .toArray(Object[][]::new);
    }

    /** A body whose end only the connection marks is not taken for whole here, as the router's own interface promises. */
    @Test(dataProvider = "odd")
    public void unusualResponseIsTaken(OddResponse response) {
        Either<CallFault, String> expected =
                response.isEndedByClose() ? Either.left(CallFault.BROKEN) : Either.right(response.expectedBody());
        assertEquals(call(response.text(""), "GET").map(HttpResponse::text), expected);
    }

    @DataProvider
    public Object[][] withoutBody() {
        return new Object[][] {
            {"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n", 200},
            {"HEAD", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", 200},
            {"GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 100\r\n\r\n", 304},
            {"GET", "HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n", 304},
            {"GET", "HTTP/1.1 204 No Content\r\nContent-Length: 100\r\n\r\n", 204},
            {"GET", "HTTP/1.1 204 No Content\r\nTransfer-Encoding: other\r\n\r\n", 204},
        };
    }

    /** Guards against a wait for a body that never comes. */
    @Test(dataProvider = "withoutBody")
    public void responseThatHasNoBodyIsTaken(String method, String response, int status) {
        assertEquals(call(response, method).map(HttpResponse::status), Either.right(status));
    }

    private Either<CallFault, HttpResponse> call(String response, String method) {
        try (RawUpstream upstream = answering(response)) {
            HttpCall call = new HttpCall(method, "127.0.0.1", upstream.port(), "/", List.of(), new byte[0], true);
            return http.call(call, TIMEOUT_MS);
        }
    }

    /** Returns a process that answers each connection once and closes it. */
    private static RawUpstream answering(String response) {
        return new RawUpstream(connection -> {
            connection.readRequest();
            connection.sendBytes(response);
        });
    }
}
