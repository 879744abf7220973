package org.cuminspur.http.client;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;
import org.xnio.Options;
import org.xnio.channels.StreamSinkChannel;

/**
 * Utilities for Undertow's client connections; stateless and thread-safe.
 *
 * <p>A connection is reset as it closes unless {@link #closeInOrder} ends it. After an end in order, the kernel goes on sending
 * what was written, for minutes if the path is cut, and so a request would arrive that was given up long before. That holds
 * for a process that is killed, too, so the choice is made as a connection opens.
 */
public final class ClientConnections {
    private static final Logger log = LoggerFactory.getLogger(ClientConnections.class);

    private ClientConnections() {}

    /**
     * Makes a new connection one that is reset as it closes.
     *
     * @throws IOException if the connection is closed already
     */
    public static void resetOnClose(ClientConnection connection) throws IOException {
        connection.setOption(Options.CLOSE_ABORT, true);
    }

    /** Closes a connection on which no request is in progress; what was written still arrives. */
    public static void closeInOrder(ClientConnection connection) {
        if (connection.isOpen()) {
            try {
                connection.setOption(Options.CLOSE_ABORT, false);
            } catch (IOException e) {
                log.warn("event=close-in-order-failed", e);
            }
        }
        IoUtils.safeClose(connection);
    }

    /**
     * Resets a connection, so that nothing of a request arrives that has not arrived yet.
     *
     * <p>Closes the channel, since closing the connection itself first waits for the rest of the response.
     */
    public static void reset(ClientConnection connection) {
        try {
            IoUtils.safeClose(connection.performUpgrade());
        } catch (IOException e) {
            // The connection can no longer be upgraded, so no response is pending either.
            IoUtils.safeClose(connection);
        }
    }

    /**
     * Writes as much of a request's body as its channel accepts, and ends the body once all is written.
     *
     * @return whether the whole request is sent; if not, the channel's write listener is to call this again
     */
    public static boolean writeBody(StreamSinkChannel channel, ByteBuffer body) throws IOException {
        while (body.hasRemaining()) {
            if (channel.write(body) == 0) {
                channel.resumeWrites();
                return false;
            }
        }
        channel.shutdownWrites();
        if (!channel.flush()) {
            channel.resumeWrites();
            return false;
        }
        channel.suspendWrites();
        return true;
    }

    /** Returns a callback that delegates to two functions. */
    public static ClientCallback<ClientExchange> callback(
            Consumer<ClientExchange> completed, Consumer<IOException> failed) {
        return new ClientCallback<>() {
            @Override
            public void completed(ClientExchange exchange) {
                completed.accept(exchange);
            }

            @Override
            public void failed(IOException e) {
                failed.accept(e);
            }
        };
    }
}
