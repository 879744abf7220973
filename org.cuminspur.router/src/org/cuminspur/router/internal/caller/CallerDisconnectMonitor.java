package org.cuminspur.router.internal.caller;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.RejectedExecutionException;
import org.cuminspur.http.client.Cancellation;

/**
 * Cancels a request when its caller closes the connection while a worker thread serves it.
 *
 * <p>Thread-safe. Started once the request has been read completely; must be closed before the end of the answer is
 * written, since the caller may send its next request after that.
 */
final class CallerDisconnectMonitor implements AutoCloseable {
    private final ServerConnection connection;
    private final ClientDisconnectMonitor monitor;

    private CallerDisconnectMonitor(ServerConnection connection, ClientDisconnectMonitor monitor) {
        this.connection = connection;
        this.monitor = monitor;
    }

    /** Starts to monitor the connection of an exchange. */
    static CallerDisconnectMonitor start(HttpServerExchange exchange, Cancellation cancellation) {
        ClientDisconnectMonitor monitor = new ClientDisconnectMonitor(exchange, cancellation::cancel);
        CallerDisconnectMonitor callerMonitor = new CallerDisconnectMonitor(exchange.getConnection(), monitor);
        callerMonitor.runOnIoThread(monitor::start);
        return callerMonitor;
    }

    @Override
    public void close() {
        CountDownLatch stopped = new CountDownLatch(1);
        runOnIoThread(() -> {
            monitor.stop();
            stopped.countDown();
        });
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void runOnIoThread(Runnable task) {
        try {
            connection.getIoThread().execute(task);
        } catch (RejectedExecutionException e) {
            // The server is stopping and its I/O threads accept no more tasks.
            task.run();
        }
    }
}
