package org.cuminspur.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.undertow.Undertow;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.cuminspur.event.EventSink;
import org.cuminspur.http.client.HttpClient;
import org.cuminspur.http.platform.PlatformAddress;
import org.cuminspur.store.StoreFault;
import org.cuminspur.store.StoreLease;
import org.cuminspur.store.StoreView;
import org.cuminspur.time.Clock;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks that each call of the store is replied to, whatever the store answers. */
public class StoreReplyTest {
    private static final long REPLY_TIMEOUT_MS = 4_000;

    @DataProvider
    Object[][] answers() {
        return List.of(
                        "",
                        "null",
                        "[]",
                        "{\"items\":7,\"as_of\":\"x\"}",
                        "{\"items\":[null,7,[],{\"key\":{},\"revision\":1e999,\"value\":[1]}],\"as_of\":1e999}",
                        "{\"items\":[{\"key\":\"servers/a\",\"revision\":-1,\"value\":\"%%%\"}],\"as_of\":-1}",
                        "{\"items\":" + "[".repeat(100_000) + "]".repeat(100_000) + "}",
                        "{\"items\":" + "{\"a\":".repeat(900) + "1" + "}".repeat(900) + "}",
                        "{\"as_of\":" + "9".repeat(5_000) + "}",
                        "{\"as_of\":1,\"items\":[{\"value\":\"" + "A".repeat(4_000_000) + "\"}]}")
                .stream()
                .map(body -> new Object[] {body.substring(0, Math.min(60, body.length())), body})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "answers")
    public void eachCallIsRepliedTo(String name, String body) throws InterruptedException {
        HttpClient http = new HttpClient(Clock.system(), 1, 400);
        Undertow server = Undertow.builder()
                .addHttpListener(0, "127.0.0.1")
                .setHandler(exchange -> exchange.getResponseSender().send(body))
                .build();
        server.start();
        try {
            int port = ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
            PlatformStore store = new PlatformStore(http, new PlatformAddress("127.0.0.1", port), EventSink.NONE);
            BlockingQueue<Either<StoreFault, StoreView>> views = new LinkedBlockingQueue<>();
            BlockingQueue<Either<StoreFault, StoreLease>> leases = new LinkedBlockingQueue<>();
            store.range("", views::add);
            store.grantLease(1, leases::add);
            assertTrue(views.poll(REPLY_TIMEOUT_MS, TimeUnit.MILLISECONDS) != null, name);
            assertTrue(leases.poll(REPLY_TIMEOUT_MS, TimeUnit.MILLISECONDS) != null, name);
        } finally {
            server.stop();
            http.close();
        }
    }

    /** Guards against a watcher that waits for ever for the reply of a read for which there was no memory. */
    @Test
    public void callThatRunsOutOfMemoryIsRepliedTo() throws InterruptedException {
        HttpClient http = new HttpClient(Clock.system(), 1, 400);
        EventSink failing = (event, fields) -> {
            throw new OutOfMemoryError("planted");
        };
        PlatformStore store = new PlatformStore(http, new PlatformAddress("127.0.0.1", 1), failing);
        BlockingQueue<Either<StoreFault, StoreView>> views = new LinkedBlockingQueue<>();
        for (int i = 0; i < 4; i++) {
            store.range("", views::add);
            assertEquals(views.poll(REPLY_TIMEOUT_MS, TimeUnit.MILLISECONDS), Either.left(StoreFault.UNKNOWN));
        }
        http.close();
    }

    /** Guards against a watcher that waits for ever for the reply of a read. */
    @Test
    public void replyThatFailsLeavesTheNextCallsTheirReplies() throws InterruptedException {
        HttpClient http = new HttpClient(Clock.system(), 1, 400);
        PlatformStore store = new PlatformStore(http, new PlatformAddress("127.0.0.1", 1), EventSink.NONE);
        BlockingQueue<Either<StoreFault, StoreView>> views = new LinkedBlockingQueue<>();
        for (int i = 0; i < 4; i++) {
            store.range("", reply -> {
                throw new IllegalStateException("failing listener");
            });
        }
        store.range("", views::add);
        assertEquals(views.poll(REPLY_TIMEOUT_MS, TimeUnit.MILLISECONDS), Either.left(StoreFault.NOT_DONE));
        http.close();
    }
}
