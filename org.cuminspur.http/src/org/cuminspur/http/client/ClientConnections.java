package org.cuminspur.http.client;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/** Utilities for Undertow's client connections; stateless and thread-safe. */
public final class ClientConnections {
    private ClientConnections() {}

    /** Closes a connection's channel, since closing the connection itself first waits for the rest of the response. */
    public static void abort(ClientConnection connection) {
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
