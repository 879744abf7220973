package org.cuminspur.http.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Function;
import org.cuminspur.http.client.CallFault;
import org.cuminspur.http.client.HttpCall;
import org.cuminspur.http.client.HttpClient;
import org.cuminspur.http.client.HttpResponse;
import org.cuminspur.http.internal.platform.EtcdJson;
import org.cuminspur.http.internal.platform.EtcdWatch;
import org.cuminspur.store.StoreFault;
import org.cuminspur.store.StoreLease;
import org.cuminspur.store.StoreRevision;
import org.cuminspur.store.StoreView;
import org.cuminspur.store.Txn;
import org.cuminspur.store.TxnResult;
import org.cuminspur.store.WatchedStore;

/**
 * Store that calls the platform's key-value service through the JSON gateway of the etcd v3 API.
 *
 * <p>Thread-safe. Calls run and reply on a few threads of the store, so a slow service delays later calls rather than
 * taking more threads.
 */
public final class EtcdStore implements WatchedStore, AutoCloseable {
    private static final int THREADS = 4;

    private final HttpClient http;
    private final PlatformAddress address;
    private final long timeoutMillis;
    private final ExecutorService calls;
    private final ExecutorService watches;

    /**
     * Prepares the store; no call is made yet.
     *
     * @param timeoutMillis maximum wait for a reply
     */
    public EtcdStore(HttpClient http, PlatformAddress address, long timeoutMillis) {
        this.http = http;
        this.address = address;
        this.timeoutMillis = timeoutMillis;
        AtomicInteger count = new AtomicInteger();
        calls = Executors.newFixedThreadPool(THREADS, task -> daemon(task, "store-" + count.incrementAndGet()));
        watches = Executors.newCachedThreadPool(task -> daemon(task, "store-watch"));
    }

    @Override
    public void range(String prefix, Consumer<Either<StoreFault, StoreView>> reply) {
        post("/v3/kv/range", EtcdJson.rangeRequest(prefix), EtcdJson::view, reply);
    }

    @Override
    public void commit(Txn txn, Consumer<Either<StoreFault, TxnResult>> reply) {
        post("/v3/kv/txn", EtcdJson.txnRequest(txn), EtcdJson::txnResult, reply);
    }

    @Override
    public Watch watch(String prefix, StoreRevision afterRevision, Consumer<StoreView> changes, Runnable ended) {
        EtcdWatch watch = new EtcdWatch(http, changes, ended);
        HttpCall call = call("/v3/watch", EtcdJson.watchRequest(prefix, afterRevision.number() + 1));
        watches.execute(() -> watch.run(call, timeoutMillis));
        return watch::close;
    }

    @Override
    public void grantLease(long ttlSeconds, Consumer<Either<StoreFault, StoreLease>> reply) {
        post("/v3/lease/grant", EtcdJson.leaseGrantRequest(ttlSeconds), EtcdJson::lease, reply);
    }

    @Override
    public void keepAlive(StoreLease lease, Consumer<Either<StoreFault, Long>> reply) {
        post("/v3/lease/keepalive", EtcdJson.keepAliveRequest(lease), EtcdJson::secondsLeft, reply);
    }

    @Override
    public void close() {
        calls.shutdownNow();
        watches.shutdownNow();
    }

    private <T> void post(
            String path, JsonNode body, Function<JsonNode, T> parse, Consumer<Either<StoreFault, T>> reply) {
        calls.execute(() -> reply.accept(send(path, body, parse)));
    }

    private <T> Either<StoreFault, T> send(String path, JsonNode body, Function<JsonNode, T> parse) {
        return http.call(call(path, body), timeoutMillis)
                .mapLeft(EtcdStore::fault)
                .flatMap(answer -> parseAnswer(answer, parse));
    }

    private static <T> Either<StoreFault, T> parseAnswer(HttpResponse answer, Function<JsonNode, T> parse) {
        if (!answer.succeeded()) {
            return Either.left(answer.status() / 100 == 4 ? StoreFault.NOT_DONE : StoreFault.UNKNOWN);
        }
        return EtcdJson.parse(answer.body()).map(parse).toEither(StoreFault.UNKNOWN);
    }

    private HttpCall call(String path, JsonNode body) {
        return HttpCall.json("POST", address.host(), address.port(), path, EtcdJson.bytes(body));
    }

    private static StoreFault fault(CallFault fault) {
        return fault == CallFault.NOT_SENT ? StoreFault.NOT_DONE : StoreFault.UNKNOWN;
    }

    private static Thread daemon(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }
}
