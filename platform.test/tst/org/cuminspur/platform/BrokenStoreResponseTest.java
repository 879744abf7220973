package org.cuminspur.platform;

import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.cuminspur.event.EventSink;
import org.cuminspur.http.client.HttpClient;
import org.cuminspur.http.platform.PlatformAddress;
import org.cuminspur.standin.raw.BrokenBody;
import org.cuminspur.standin.raw.BrokenHead;
import org.cuminspur.standin.raw.RawUpstream;
import org.cuminspur.store.StoreFault;
import org.cuminspur.store.StoreLease;
import org.cuminspur.store.StoreView;
import org.cuminspur.time.Clock;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks that nothing is concluded from a response of the store that is not valid. */
public class BrokenStoreResponseTest {
    private static final long REPLY_TIMEOUT_MS = 4_000;

    @DataProvider
    public Object[][] broken() {
        Stream<Object[]> heads = Stream.of(BrokenHead.values()).map(head -> new Object[] {head.name(), head.text("")});
        Stream<Object[]> bodies = Stream.of(BrokenBody.values()).map(body ->
                new Object[] {body.name(), "HTTP/1.1 200 OK\r\n" + BrokenBody.HEADER + "\r\n" + body.text()});
        return Stream.concat(heads, bodies).toArray(Object[][]::new);
    }

    @Test(dataProvider = "broken")
    public void brokenResponseIsNoWordOfTheStore(String name, String response) throws InterruptedException {
        HttpClient http = new HttpClient(Clock.system(), 1, 400);
        try (RawUpstream raw = new RawUpstream(connection -> {
            connection.readRequest();
            connection.sendBytes(response);
        })) {
            PlatformStore store = new PlatformStore(http, new PlatformAddress("127.0.0.1", raw.port()), EventSink.NONE);
            BlockingQueue<Either<StoreFault, StoreView>> views = new LinkedBlockingQueue<>();
            BlockingQueue<Either<StoreFault, StoreLease>> leases = new LinkedBlockingQueue<>();
            store.range("", views::add);
            store.grantLease(1, leases::add);
            assertTrue(views.poll(REPLY_TIMEOUT_MS, TimeUnit.MILLISECONDS).isLeft());
            assertTrue(leases.poll(REPLY_TIMEOUT_MS, TimeUnit.MILLISECONDS).isLeft());
        } finally {
            http.close();
        }
    }
}
