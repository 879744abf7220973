package org.cuminspur.router.internal.caller;

import com.codahale.metrics.MetricRegistry;
import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.cuminspur.errors.Refusal;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Answers a request that was not read completely, then closes its connection.
 *
 * <p>Stateless and thread-safe; occupies no worker thread, however slowly the caller sends. Further input is discarded
 * for a short time before the connection closes: closing with unread bytes would reset the connection, and the caller
 * might not see its answer.
 */
public final class EarlyRefusal {
    private static final long LINGER_MS = 1_000;
    private static final int DISCARD_BUFFER_BYTES = 16 * 1_024;

    private EarlyRefusal() {}

    /** Sends a refusal; called on the connection's I/O thread. */
    static void send(HttpServerExchange exchange, Refusal refusal, MetricRegistry metrics) {
        metrics.counter("refused." + refusal.kind().label()).inc();
        RefusalResponse.setHead(exchange, refusal);
        sendAndClose(exchange, RefusalResponse.bodyJson(refusal).getBytes(StandardCharsets.UTF_8));
    }

    /** Sends an answer whose status and headers are already set, then closes the connection. */
    public static void sendAndClose(HttpServerExchange exchange, byte[] body) {
        exchange.setPersistent(false);
        exchange.setResponseContentLength(body.length);
        exchange.getResponseSender().send(ByteBuffer.wrap(body), new IoCallback() {
            @Override
            public void onComplete(HttpServerExchange sent, Sender sender) {
                linger(sent);
            }

            @Override
            public void onException(HttpServerExchange sent, Sender sender, IOException e) {
                close(sent);
            }
        });
    }

    private static void linger(HttpServerExchange exchange) {
        ServerConnection connection = exchange.getConnection();
        if (exchange.isRequestComplete()) {
            exchange.endExchange();
            return;
        }
        StreamConnection channel = ((HttpServerConnection) connection).getChannel();
        StreamSourceConduit source = ((HttpServerConnection) connection).getOriginalSourceConduit();
        connection.getIoThread().executeAfter(() -> close(exchange), LINGER_MS, TimeUnit.MILLISECONDS);
        channel.getSourceChannel().setReadListener(readable -> discardInput(exchange, source));
        try {
            channel.getSinkChannel().shutdownWrites();
            channel.getSinkChannel().flush();
            source.resumeReads();
        } catch (IOException e) {
            close(exchange);
        }
    }

    private static void discardInput(HttpServerExchange exchange, StreamSourceConduit source) {
        try {
            int count = source.read(ByteBuffer.allocate(DISCARD_BUFFER_BYTES));
            if (count < 0) {
                close(exchange);
            }
        } catch (IOException e) {
            close(exchange);
        }
    }

    /** Closes the connection of a request that was not read completely. */
    public static void close(HttpServerExchange exchange) {
        IoUtils.safeClose(exchange.getConnection());
        exchange.endExchange();
    }
}
