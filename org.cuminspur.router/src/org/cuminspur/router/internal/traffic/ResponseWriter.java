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
import org.cuminspur.memory.ResponseBudget;
import org.cuminspur.router.internal.caller.CallerConnections;
import org.xnio.channels.StreamSinkChannel;

/**
 * Writes one response to its caller without blocking.
 *
 * <p>Used on the connection's I/O thread. Bytes that the caller is slow to read are held within the share that the budget
 * allows, beyond which the source is told to pause. A caller that reads nothing for too long loses its connection. A response that cannot be completed is ended by closing or resetting its connection, so that it never looks complete.
 */
final class ResponseWriter {
    /** Receives backpressure and the loss of the connection. */
    interface Listener {
        /** The source should pause, or resume. */
        void backpressureChanged(boolean pause);

        /** The connection broke. */
        void disconnected();

        /** The caller has read nothing for too long, so that its connection was closed. */
        void unread(int heldBytes);
    }

    private final HttpServerExchange exchange;
    private final ResponseBudget budget;
    private final Listener listener;
    private final UnreadResponseTimer unread;
    private final Deque<ByteBuffer> pending = new ArrayDeque<>();
    private StreamSinkChannel channel;
    private int heldBytes;
    private boolean paused;
    private boolean ending;
    private boolean closed;

    ResponseWriter(TrafficContext context, HttpServerExchange exchange, Listener listener) {
        this.exchange = exchange;
        this.budget = context.responses().budget();
        this.listener = listener;
        this.unread = new UnreadResponseTimer(
                exchange.getIoThread(),
                context.clock(),
                () -> context.requestLimits().idleTimeoutMillis(),
                this::endUnread);
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
                    unread.progressed();
                }
            }
            if (bytes.hasRemaining()) {
                buffer(bytes);
            }
            if (!channel.flush() || !pending.isEmpty()) {
                awaitCaller();
            } else {
                unread.stop();
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
            unread.stop();
            pending.clear();
            releaseHeld(heldBytes);
            CallerConnections.abortResponse(exchange);
            exchange.endExchange();
        }
    }

    private void endUnread() {
        int bytes = heldBytes;
        abort();
        listener.unread(bytes);
    }

    private void releaseHeld(int bytes) {
        heldBytes -= bytes;
        budget.release(bytes);
    }

    private void awaitCaller() {
        unread.waiting();
        channel.resumeWrites();
    }

    private void buffer(ByteBuffer bytes) {
        ByteBuffer copy = ByteBuffer.allocate(bytes.remaining());
        copy.put(bytes).flip();
        pending.add(copy);
        heldBytes += copy.capacity();
        budget.hold(copy.capacity());
        setPaused(heldBytes > budget.shareBytes());
    }

    private void drain() {
        if (closed) {
            return;
        }
        try {
            while (!pending.isEmpty()) {
                if (channel.write(pending.peek()) > 0) {
                    unread.progressed();
                }
                if (pending.peek().hasRemaining()) {
                    awaitCaller();
                    return;
                }
                releaseHeld(pending.remove().capacity());
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
            awaitCaller();
        } else {
            unread.stop();
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
