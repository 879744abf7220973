package org.cuminspur.router.internal.caller;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.RejectedExecutionException;
import org.cuminspur.http.client.Cancellation;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Notices that a caller closes its connection while its answer is awaited.
 *
 * <p>Thread-safe. Starts once the request was read whole, and must be closed before the end of the answer is written,
 * since the caller may send its next request after that. Bytes that come earlier are handed back to the connection.
 */
final class CallerWatch implements AutoCloseable {
    private final HttpServerConnection connection;

    /** Reads from the connection itself; the exchange's own channel tells the end of the request's body. */
    private final StreamSourceConduit source;

    private final Cancellation cancellation;
    private boolean closed;

    private CallerWatch(HttpServerConnection connection, Cancellation cancellation) {
        this.connection = connection;
        this.source = connection.getOriginalSourceConduit();
        this.cancellation = cancellation;
    }

    /** Starts to watch the connection of an exchange. */
    static CallerWatch start(HttpServerExchange exchange, Cancellation cancellation) {
        CallerWatch watch = new CallerWatch((HttpServerConnection) exchange.getConnection(), cancellation);
        watch.onIoThread(watch::listen);
        return watch;
    }

    @Override
    public void close() {
        CountDownLatch ended = new CountDownLatch(1);
        onIoThread(() -> {
            closed = true;
            source.suspendReads();
            ended.countDown();
        });
        try {
            ended.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void listen() {
        // Bytes that wait to be parsed belong to the next request.
        if (!closed && connection.getExtraBytes() == null) {
            connection.getChannel().getSourceChannel().setReadListener(channel -> read());
            source.resumeReads();
        }
    }

    private void read() {
        if (closed) {
            source.suspendReads();
            return;
        }
        PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
        int count = read(pooled);
        if (count > 0) {
            source.suspendReads();
            pooled.getBuffer().flip();
            connection.ungetRequestBytes(pooled);
            return;
        }
        pooled.close();
        if (count < 0) {
            source.suspendReads();
            cancellation.cancel();
        }
    }

    private int read(PooledByteBuffer pooled) {
        try {
            return source.read(pooled.getBuffer());
        } catch (IOException e) {
            return -1;
        }
    }

    private void onIoThread(Runnable task) {
        try {
            connection.getIoThread().execute(task);
        } catch (RejectedExecutionException e) {
            task.run();
        }
    }
}
