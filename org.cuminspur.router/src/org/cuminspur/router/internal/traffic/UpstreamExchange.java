package org.cuminspur.router.internal.traffic;

import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.util.HeaderMap;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import org.cuminspur.http.client.BodyEnd;
import org.cuminspur.http.client.BodyFraming;
import org.cuminspur.http.client.ClientConnections;
import org.cuminspur.http.client.InvalidResponseException;
import org.cuminspur.traffic.Destination;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * Sends one request to one upstream, or to another instance, and passes its response to a listener.
 *
 * <p>Used on one I/O thread. Exactly one of {@code notConnected}, {@code withdrawn}, {@code bodyEnded} and {@code connectionBroken} is called, unless the
 * exchange is cancelled or discarded. A connection is reused only after a complete request and response with no bytes
 * following.
 */
final class UpstreamExchange<D extends Destination> {
    private static final int NO_CONTENT = 204;
    private static final int REDIRECTION = 300;
    private static final int NOT_MODIFIED = 304;
    /** Largest body that reaches an upstream in one piece; a larger one may be answered before it was read. */
    private static final int MAX_SINGLE_PIECE_BYTES = 64 * 1_024;

    /** Longest rest of a response that is read only so that its connection can be used again. */
    private static final int MAX_DISCARDED_BYTES = 64 * 1_024;

    /** Reads in one event-loop turn, after which other connections have theirs. */
    private static final int READS_PER_TURN = 16;

    /** Receives the events of the exchange. */
    interface Listener<D extends Destination> {
        /** No byte of the request was sent. */
        void notConnected(UpstreamExchange<D> exchange);

        /** Returns whether the request may still be sent, now that there is a connection. */
        boolean mayStillSend(UpstreamExchange<D> exchange);

        /** It may not; nothing was sent, and the connection can be used again. */
        void withdrawn(UpstreamExchange<D> exchange);

        /** The head of the response arrived. */
        void responseStarted(UpstreamExchange<D> exchange, int status, HeaderMap headers);

        /** A part of the body arrived; the buffer is valid during the call only. */
        void bodyReceived(UpstreamExchange<D> exchange, ByteBuffer bytes);

        /** The body ended as its framing says; {@link #end} tells whether only its connection marked the end. */
        void bodyEnded(UpstreamExchange<D> exchange);

        /** The connection broke before the response was complete. */
        void connectionBroken(UpstreamExchange<D> exchange);
    }

    private final D destination;
    private final String requestId;
    private final UpstreamConnectionPool connections;
    private final ResponseMemory memory;
    private final Listener<D> listener;
    private ClientRequest request;
    private byte[] body;
    private ClientConnection connection;
    private StreamSourceChannel source;
    private long keepAliveMillis = UpstreamConnectionPool.DEFAULT_KEEP_ALIVE_MS;
    private boolean requestWritten;
    private boolean reused;
    private boolean finished;
    private boolean discarding;
    private int discardedBytes;
    private boolean paused;
    private Throwable cause;
    private boolean refused;
    private BodyFraming framing = BodyFraming.NONE;
    private BodyEnd end = BodyEnd.NONE;
    private ConnectionEnd connectionEnd = ConnectionEnd.NONE;

    /**
     * Creates an exchange without starting it.
     *
     * @param requestId id that the request and its response bear
     * @param memory shared by all exchanges of the thread
     */
    UpstreamExchange(
            D destination,
            String requestId,
            UpstreamConnectionPool connections,
            ResponseMemory memory,
            Listener<D> listener) {
        this.destination = destination;
        this.requestId = requestId;
        this.connections = connections;
        this.memory = memory;
        this.listener = listener;
    }

    D destination() {
        return destination;
    }

    /** Returns whether a part of the request may have been sent. */
    boolean isSent() {
        return connection != null;
    }

    ExchangeProgress progress() {
        return ExchangeProgress.of(isSent(), requestWritten, source != null);
    }

    ConnectionEnd connectionEnd() {
        return connectionEnd;
    }

    /** Returns whether the connection had brought a refusal or failure of a request before. */
    boolean repeats(String otherRequestId) {
        return UnsuccessfulResponses.of(connection).contains(otherRequestId);
    }

    /** Returns whether the connection had served before. */
    boolean reused() {
        return reused;
    }

    /** Returns why the connection broke, for the log; empty if it did not. */
    String cause() {
        return cause == null ? "" : cause.toString();
    }

    /** Returns whether the connection was ended because what came on it is no valid response. */
    boolean invalid() {
        return cause instanceof InvalidResponseException;
    }

    /** Returns whether the upstream refused a connection, which it does only while no process listens there. */
    boolean refused() {
        return refused;
    }

    /** Returns the framing of the response's body, {@link BodyFraming#NONE} before the response began. */
    BodyFraming framing() {
        return framing;
    }

    /** Returns how the response ended, {@link BodyEnd#NONE} if it has not. */
    BodyEnd end() {
        return end;
    }

    /** Sends the request. */
    void start(ClientRequest newRequest, byte[] newBody) {
        request = newRequest;
        body = newBody;
        ClientConnection idle = connections.take(destination, requestId);
        if (idle != null) {
            reused = true;
            send(idle);
        } else {
            connect();
        }
    }

    private void connect() {
        connections.connect(destination, this::connected, this::notConnected);
    }

    /** Opens a new connection in place of a reused one that was closed before a byte was sent. */
    private void reconnect(IOException error) {
        IoUtils.safeClose(connection);
        if (reused && !finished) {
            connection = null;
            reused = false;
            connect();
        } else {
            notConnected(error);
        }
    }

    /** Drops the response and resets the connection, which cancels the request, on its way and at the upstream. */
    void cancel() {
        if (!finished) {
            finished = true;
            end = source == null ? BodyEnd.NONE : BodyEnd.ABORTED;
            reset();
        }
    }

    /** Reads the rest of the response, if it is short, without passing it on, so that the connection can be reused. */
    void discard() {
        discarding = true;
        paused = false;
        end = BodyEnd.ABORTED;
    }

    /** Pauses or resumes reading the response. */
    void pause(boolean pause) {
        paused = pause;
        if (source != null && !finished) {
            if (pause) {
                source.suspendReads();
            } else {
                source.wakeupReads();
            }
        }
    }

    private void connected(ClientConnection opened) {
        if (finished) {
            IoUtils.safeClose(opened);
        } else if (!listener.mayStillSend(this)) {
            finished = true;
            connections.release(destination, opened, keepAliveMillis);
            listener.withdrawn(this);
        } else {
            send(opened);
        }
    }

    private void notConnected(IOException error) {
        if (!finished) {
            finished = true;
            cause = error.getCause() == null ? error : error.getCause();
            refused = UpstreamConnectionPool.isRefused(error);
            listener.notConnected(this);
        }
    }

    private void send(ClientConnection to) {
        connection = to;
        to.getCloseSetter().set(closed -> failLater(to));
        ClientConnections.expectResponse(to, request);
        connection.sendRequest(
                request, ClientConnections.callback(exchange -> sendBody(to, exchange), this::reconnect));
    }

    private void sendBody(ClientConnection to, ClientExchange exchange) {
        exchange.setResponseListener(ClientConnections.callback(this::answered, e -> fail(to, e)));
        StreamSinkChannel channel = exchange.getRequestChannel();
        ByteBuffer bytes = ByteBuffer.wrap(body);
        channel.getWriteSetter().set(writable -> write(to, writable, bytes));
        try {
            writeSome(channel, bytes);
        } catch (ClosedChannelException e) {
            to.getCloseSetter().set(null);
            if (bytes.position() == 0) {
                // The connection was closed locally before the first write, so nothing was sent.
                reconnect(e);
            } else {
                fail(e);
            }
        } catch (IOException e) {
            fail(e);
        }
    }

    private void write(ClientConnection to, StreamSinkChannel channel, ByteBuffer bytes) {
        if (to == connection) {
            try {
                writeSome(channel, bytes);
            } catch (IOException e) {
                fail(e);
            }
        }
    }

    private void writeSome(StreamSinkChannel channel, ByteBuffer bytes) throws IOException {
        requestWritten |= ClientConnections.writeBody(channel, bytes);
    }

    private void answered(ClientExchange exchange) {
        if (finished) {
            return;
        }
        ClientConnections.progressed(connection);
        ClientResponse response = exchange.getResponse();
        // After a response that came before the whole request was read, the client library may close its half.
        boolean wasRead = requestWritten && body.length <= MAX_SINGLE_PIECE_BYTES;
        keepAliveMillis = wasRead ? KeepAliveHeader.millis(response.getResponseHeaders()) : 0;
        framing = BodyFraming.of(request.getMethod(), response.getResponseCode(), response.getResponseHeaders());
        source = exchange.getResponseChannel();
        listener.responseStarted(this, response.getResponseCode(), response.getResponseHeaders());
        if (finished) {
            return;
        }
        if (response.getResponseCode() >= REDIRECTION
                && !UnsuccessfulResponses.of(connection).add(requestId)) {
            keepAliveMillis = 0;
        }
        if (response.getResponseCode() == NO_CONTENT || response.getResponseCode() == NOT_MODIFIED) {
            keepAliveMillis = 0;
            finish();
            return;
        }
        source.getReadSetter().set(readable -> read());
        read();
    }

    private void read() {
        try {
            for (int reads = 0; !finished && !paused; reads++) {
                if (reads == READS_PER_TURN) {
                    source.wakeupReads();
                    return;
                }
                ByteBuffer buffer = memory.readBuffer();
                int count = source.read(buffer);
                if (count < 0) {
                    finish();
                    return;
                } else if (count == 0) {
                    source.resumeReads();
                    return;
                }
                ClientConnections.progressed(connection);
                if (discarding) {
                    discard(count);
                } else {
                    buffer.flip();
                    listener.bodyReceived(this, buffer);
                }
            }
        } catch (IOException e) {
            fail(e);
        }
    }

    private void discard(int bytes) {
        discardedBytes += bytes;
        if (discardedBytes > MAX_DISCARDED_BYTES) {
            finished = true;
            reset();
        }
    }

    private void finish() {
        finished = true;
        end = framing == BodyFraming.CONNECTION_END ? BodyEnd.CONNECTION_END : BodyEnd.COMPLETE;
        connection.getCloseSetter().set(null);
        if (keepAliveMillis > 0) {
            // One event-loop turn later, bytes that follow the response have closed the connection.
            connectionEnd = ConnectionEnd.KEPT;
            connection.getIoThread().execute(() -> connections.release(destination, connection, keepAliveMillis));
        } else {
            endComplete();
        }
        if (!discarding) {
            listener.bodyEnded(this);
        }
    }

    /** Fails only after a read in progress has seen the end of the body, which may be what closed the connection. */
    private void failLater(ClientConnection closed) {
        closed.getIoThread().execute(() -> fail(closed, new ClosedChannelException()));
    }

    /** Fails if the connection is the current one; a replaced one says nothing of its replacement. */
    private void fail(ClientConnection of, IOException error) {
        if (of == connection) {
            fail(error);
        }
    }

    private void fail(IOException error) {
        if (!finished) {
            finished = true;
            cause = error;
            end = source == null ? BodyEnd.NONE : BodyEnd.BROKEN;
            reset();
            if (!discarding) {
                listener.connectionBroken(this);
            }
        }
    }

    /** Ends a connection that cannot be used again after its response. */
    private void endComplete() {
        if (requestWritten) {
            connectionEnd = ConnectionEnd.CLOSED;
            ClientConnections.closeInOrder(connection);
        } else {
            reset();
        }
    }

    /** Ends the connection so that nothing of the request arrives later; closing it in order would let it arrive. */
    private void reset() {
        if (connection != null) {
            connectionEnd = ConnectionEnd.RESET;
            connection.getCloseSetter().set(null);
            ClientConnections.reset(connection);
        }
    }
}
