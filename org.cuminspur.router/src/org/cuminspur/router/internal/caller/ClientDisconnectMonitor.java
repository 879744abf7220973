package org.cuminspur.router.internal.caller;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Notices that a caller closes its connection while its answer is awaited.
 *
 * <p>Used on the connection's input-output thread. Starts once the request was read whole and stops by itself before
 * the connection reads its next request, since an answer of known length is complete with its last byte. Bytes that
 * come earlier are handed back to the connection.
 */
public final class ClientDisconnectMonitor {
    private final HttpServerConnection connection;

    /** Reads from the connection itself; the exchange's own channel tells the end of the request's body. */
    private final StreamSourceConduit source;

    private final Runnable gone;
    private boolean stopped;

    /**
     * Makes a watch that has not started.
     *
     * @param gone runs once if the caller closes its connection
     */
    public ClientDisconnectMonitor(HttpServerExchange exchange, Runnable gone) {
        this.connection = (HttpServerConnection) exchange.getConnection();
        this.source = connection.getOriginalSourceConduit();
        this.gone = gone;
        exchange.addExchangeCompleteListener((ended, next) -> {
            stop();
            next.proceed();
        });
    }

    /** Starts to watch. */
    public void start() {
        // Bytes that wait to be parsed belong to the next request.
        if (!stopped && connection.getExtraBytes() == null) {
            connection.getChannel().getSourceChannel().setReadListener(channel -> read());
            source.resumeReads();
        }
    }

    /** Stops watching; has no effect once the connection has gone on. */
    public void stop() {
        if (!stopped) {
            stopped = true;
            source.suspendReads();
        }
    }

    private void read() {
        if (stopped) {
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
            stop();
            gone.run();
        }
    }

    private int read(PooledByteBuffer pooled) {
        try {
            return source.read(pooled.getBuffer());
        } catch (IOException e) {
            return -1;
        }
    }
}
