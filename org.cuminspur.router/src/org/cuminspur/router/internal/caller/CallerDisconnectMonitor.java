package org.cuminspur.router.internal.caller;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.RejectedExecutionException;
import org.cuminspur.http.client.Cancellation;

/**
 * Notices that a caller closes its connection while a worker thread makes its answer.
 *
 * <p>Thread-safe. Starts once the request was read whole, and must be closed before the end of the answer is written,
 * since the caller may send its next request after that.
 */
final class CallerDisconnectMonitor implements AutoCloseable {
    private final ServerConnection connection;
    private final ClientDisconnectMonitor watch;

    private CallerDisconnectMonitor(ServerConnection connection, ClientDisconnectMonitor watch) {
        this.connection = connection;
        this.watch = watch;
    }

    /** Starts to watch the connection of an exchange. */
    static CallerDisconnectMonitor start(HttpServerExchange exchange, Cancellation cancellation) {
        ClientDisconnectMonitor watch = new ClientDisconnectMonitor(exchange, cancellation::cancel);
        CallerDisconnectMonitor started = new CallerDisconnectMonitor(exchange.getConnection(), watch);
        started.onIoThread(watch::start);
        return started;
    }

    @Override
    public void close() {
        CountDownLatch ended = new CountDownLatch(1);
        onIoThread(() -> {
            watch.stop();
            ended.countDown();
        });
        try {
            ended.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void onIoThread(Runnable task) {
        try {
            connection.getIoThread().execute(task);
        } catch (RejectedExecutionException e) {
            // The server stops, and its input-output threads run nothing any more.
            task.run();
        }
    }
}
