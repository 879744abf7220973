package org.cuminspur.http.client;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.util.Attachable;
import io.undertow.util.Methods;
import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.cuminspur.http.internal.client.FramingGuard;
import org.cuminspur.http.internal.client.GuardingIoThread;
import org.cuminspur.http.internal.client.ResponseConduit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.FutureResult;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioIoThread;
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
     * Opens a connection that is reset as it closes, and that breaks if a response is invalid or its head or framing has no end.
     *
     * @param uri of the form {@code http://HOST:PORT}
     */
    public static IoFuture<ClientConnection> connect(
            URI uri, XnioIoThread thread, ByteBufferPool buffers, OptionMap options) {
        GuardingIoThread guarding = new GuardingIoThread(thread);
        FutureResult<ClientConnection> result = new FutureResult<>(thread);
        IoFuture<ClientConnection> connecting = UndertowClient.getInstance().connect(uri, guarding, buffers, options);
        result.addCancelHandler(connecting);
        connecting.addNotifier(
                new IoFuture.HandlingNotifier<ClientConnection, Void>() {
                    @Override
                    public void handleDone(ClientConnection connection, Void none) {
                        opened(connection, guarding, result);
                    }

                    @Override
                    public void handleFailed(IOException e, Void none) {
                        result.setException(e);
                    }

                    @Override
                    public void handleCancelled(Void none) {
                        result.setCancelled();
                    }
                },
                null);
        return result.getIoFuture();
    }

    private static void opened(
            ClientConnection connection, GuardingIoThread guarding, FutureResult<ClientConnection> result) {
        try {
            connection.setOption(Options.CLOSE_ABORT, true);
            ((Attachable) connection).putAttachment(FramingGuard.KEY, guarding.guard());
            ((Attachable) connection).putAttachment(ResponseConduit.KEY, guarding.responses());
            if (!result.setResult(connection)) {
                // The attempt was cancelled meanwhile.
                IoUtils.safeClose(connection);
            }
        } catch (IOException e) {
            IoUtils.safeClose(connection);
            result.setException(e);
        }
    }

    /** Expects the response to a request that is about to be sent; called on the I/O thread. */
    public static void expectResponse(ClientConnection connection, ClientRequest request) {
        progressed(connection);
        ((Attachable) connection)
                .getAttachment(ResponseConduit.KEY)
                .expectResponse(request.getMethod().equals(Methods.HEAD));
    }

    /**
     * Notes that a response's head has come, or a part of the body; called on the I/O thread.
     *
     * <p>A response of which too much comes without this breaks its connection.
     */
    public static void progressed(ClientConnection connection) {
        ((Attachable) connection).getAttachment(FramingGuard.KEY).progressed();
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
