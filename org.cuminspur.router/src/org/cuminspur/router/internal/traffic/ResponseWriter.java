package org.cuminspur.router.internal.traffic;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.Protocols;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import org.cuminspur.http.client.BodyFraming;
import org.cuminspur.router.internal.caller.CallerConnections;
import org.xnio.channels.StreamSinkChannel;

/**
 * Writes one response to its caller without blocking.
 *
 * <p>Used on the connection's I/O thread. Bytes that the caller is slow to read are buffered, and the source is told to
 * pause. A response that cannot be completed is ended by closing or resetting its connection, so that it never looks complete.
 */
final class ResponseWriter {
    /** Bytes buffered for a slow caller before the source is paused. */
    private static final int MAX_BUFFERED_BYTES = 64 * 1_024;

    /** Receives backpressure and the loss of the connection. */
    interface Listener {
        /** The source should pause, or resume. */
        void backpressureChanged(boolean pause);

        /** The connection broke. */
        void disconnected();
    }

    private final HttpServerExchange exchange;
    private final Listener listener;
    private final Deque<ByteBuffer> pending = new ArrayDeque<>();
    private StreamSinkChannel channel;
    private int pendingBytes;
    private boolean paused;
    private boolean ending;
    private boolean closed;

    ResponseWriter(HttpServerExchange exchange, Listener listener) {
        this.exchange = exchange;
        this.listener = listener;
    }

    /** Sets status and headers. */
    void begin(int status, HeaderMap headers) {
        exchange.setStatusCode(status);
        headers.forEach(values -> exchange.getResponseHeaders().putAll(values.getHeaderName(), values));
        if (needsChunkedEncoding(status)) {
            exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, "chunked");
        }
        channel = exchange.getResponseChannel();
        channel.getWriteSetter().set(writable -> drain());
    }

    /**
     * Returns whether the body must be chunked. Undertow would end it by closing a connection that is not kept alive, so
     * that a caller could not tell a complete response from one cut off by the end of this process.
     */
    private boolean needsChunkedEncoding(int status) {
        return exchange.getProtocol().equals(Protocols.HTTP_1_1)
                && !exchange.getResponseHeaders().contains(Headers.CONTENT_LENGTH)
                && !exchange.getRequestMethod().equals(Methods.HEAD)
                && status != StatusCodes.NO_CONTENT
                && status != StatusCodes.NOT_MODIFIED;
    }

    /** Returns the framing of the response's body, as the caller sees it. */
    BodyFraming framing() {
        return CallerConnections.framing(exchange);
    }

    /** Sends a whole response. */
    void send(int status, HeaderMap headers, byte[] body) {
        headers.put(Headers.CONTENT_LENGTH, body.length);
        begin(status, headers);
        write(ByteBuffer.wrap(body));
        end();
    }

    /** Writes a part of the body; the buffer can be reused after the call. */
    void write(ByteBuffer bytes) {
        if (closed || !bytes.hasRemaining()) {
            return;
        }
        try {
            if (pending.isEmpty()) {
                while (bytes.hasRemaining() && channel.write(bytes) > 0) {
                    continue;
                }
            }
            if (bytes.hasRemaining()) {
                buffer(bytes);
            }
            if (!channel.flush() || !pending.isEmpty()) {
                channel.resumeWrites();
            }
        } catch (IOException e) {
            connectionLost();
        }
    }

    /** Ends the response as complete. */
    void end() {
        ending = true;
        drain();
    }

    /** Ends the response as incomplete by closing the connection. */
    void abort() {
        if (!closed) {
            closed = true;
            CallerConnections.abortResponse(exchange);
            exchange.endExchange();
        }
    }

    private void buffer(ByteBuffer bytes) {
        ByteBuffer copy = ByteBuffer.allocate(bytes.remaining());
        copy.put(bytes).flip();
        pending.add(copy);
        pendingBytes += copy.remaining();
        setPaused(pendingBytes > MAX_BUFFERED_BYTES);
    }

    private void drain() {
        if (closed) {
            return;
        }
        try {
            while (!pending.isEmpty()) {
                int written = channel.write(pending.peek());
                pendingBytes -= Math.max(0, written);
                if (pending.peek().hasRemaining()) {
                    channel.resumeWrites();
                    return;
                }
                pending.remove();
            }
            setPaused(false);
            finishOrFlush();
        } catch (IOException e) {
            connectionLost();
        }
    }

    private void finishOrFlush() throws IOException {
        if (ending) {
            channel.shutdownWrites();
        }
        if (!channel.flush()) {
            channel.resumeWrites();
        } else {
            channel.suspendWrites();
            if (ending) {
                closed = true;
                exchange.endExchange();
            }
        }
    }

    private void setPaused(boolean pause) {
        if (pause != paused) {
            paused = pause;
            listener.backpressureChanged(pause);
        }
    }

    private void connectionLost() {
        abort();
        listener.disconnected();
    }
}
