package org.cuminspur.router.internal.caller;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Detects that a caller closes its connection before its answer is complete.
 *
 * <p>Used on the connection's I/O thread. Started once the request has been read completely. Stops by itself before the
 * connection reads its next request, since an answer of known length is complete with its last byte. Bytes that arrive
 * earlier are returned to the connection.
 */
public final class ClientDisconnectMonitor {
    private final HttpServerConnection connection;

    /** The connection's own source; the exchange's channel reports the end of the request body instead. */
    private final StreamSourceConduit source;

    private final Runnable onDisconnect;
    private boolean stopped;

    /**
     * Creates a monitor that is not started.
     *
     * @param onDisconnect called once if the caller closes its connection
     */
    public ClientDisconnectMonitor(HttpServerExchange exchange, Runnable onDisconnect) {
        this.connection = (HttpServerConnection) exchange.getConnection();
        this.source = connection.getOriginalSourceConduit();
        this.onDisconnect = onDisconnect;
        exchange.addExchangeCompleteListener((completed, next) -> {
            stop();
            next.proceed();
        });
    }

    public void start() {
        // Buffered bytes belong to the next request.
        if (!stopped && connection.getExtraBytes() == null) {
            connection.getChannel().getSourceChannel().setReadListener(channel -> onReadable());
            source.resumeReads();
        }
    }

    /** Stops monitoring; has no effect once the connection reads its next request. */
    public void stop() {
        if (!stopped) {
            stopped = true;
            source.suspendReads();
        }
    }

    private void onReadable() {
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
            onDisconnect.run();
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
