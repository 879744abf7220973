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
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/**
 * Writes one answer to its caller without blocking.
 *
 * <p>Used on the connection's input-output thread. What the caller is slow to take is kept, and the source is told to
 * pause; an answer that cannot be finished ends with its connection, so it never looks whole.
 */
final class CallerReply {
    /** Bytes kept for a slow caller before the source pauses. */
    private static final int PAUSE_BYTES = 64 * 1_024;

    /** Told when the caller takes bytes again, or is gone. */
    interface Listener {
        /** Takes whether the source is to pause. */
        void paused(boolean pause);

        /** Takes that the connection broke. */
        void gone();
    }

    private final HttpServerExchange exchange;
    private final Listener listener;
    private final Deque<ByteBuffer> waiting = new ArrayDeque<>();
    private StreamSinkChannel channel;
    private int waitingBytes;
    private boolean paused;
    private boolean ending;
    private boolean closed;

    CallerReply(HttpServerExchange exchange, Listener listener) {
        this.exchange = exchange;
        this.listener = listener;
    }

    /** Fixes status and headers. */
    void begin(int status, HeaderMap headers) {
        exchange.setStatusCode(status);
        headers.forEach(values -> exchange.getResponseHeaders().putAll(values.getHeaderName(), values));
        if (mustShowItsEnd(status)) {
            exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, "chunked");
        }
        channel = exchange.getResponseChannel();
        channel.getWriteSetter().set(writable -> drain());
    }

    /**
     * Returns whether the body needs chunks. The library would end it with a connection that is not kept, so that a
     * caller could not tell a whole answer from one that this process did not live to finish.
     */
    private boolean mustShowItsEnd(int status) {
        return exchange.getProtocol().equals(Protocols.HTTP_1_1)
                && !exchange.getResponseHeaders().contains(Headers.CONTENT_LENGTH)
                && !exchange.getRequestMethod().equals(Methods.HEAD)
                && status != StatusCodes.NO_CONTENT
                && status != StatusCodes.NOT_MODIFIED;
    }

    /** Fixes status and headers, and writes the whole body. */
    void answer(int status, HeaderMap headers, byte[] body) {
        headers.put(Headers.CONTENT_LENGTH, body.length);
        begin(status, headers);
        write(ByteBuffer.wrap(body));
        end();
    }

    /** Writes a part of the body; the buffer may be reused afterwards. */
    void write(ByteBuffer bytes) {
        if (closed || !bytes.hasRemaining()) {
            return;
        }
        try {
            if (waiting.isEmpty()) {
                while (bytes.hasRemaining() && channel.write(bytes) > 0) {
                    continue;
                }
            }
            if (bytes.hasRemaining()) {
                keep(bytes);
            }
            if (!channel.flush() || !waiting.isEmpty()) {
                channel.resumeWrites();
            }
        } catch (IOException e) {
            lost();
        }
    }

    /** Ends the answer as whole. */
    void end() {
        ending = true;
        drain();
    }

    /** Ends the answer as incomplete, by closing the connection. */
    void cut() {
        if (!closed) {
            closed = true;
            IoUtils.safeClose(exchange.getConnection());
            exchange.endExchange();
        }
    }

    private void keep(ByteBuffer bytes) {
        ByteBuffer copy = ByteBuffer.allocate(bytes.remaining());
        copy.put(bytes).flip();
        waiting.add(copy);
        waitingBytes += copy.remaining();
        pauseIf(waitingBytes > PAUSE_BYTES);
    }

    private void drain() {
        if (closed) {
            return;
        }
        try {
            while (!waiting.isEmpty()) {
                int written = channel.write(waiting.peek());
                waitingBytes -= Math.max(0, written);
                if (waiting.peek().hasRemaining()) {
                    channel.resumeWrites();
                    return;
                }
                waiting.remove();
            }
            pauseIf(false);
            finishOrFlush();
        } catch (IOException e) {
            lost();
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

    private void pauseIf(boolean pause) {
        if (pause != paused) {
            paused = pause;
            listener.paused(pause);
        }
    }

    private void lost() {
        cut();
        listener.gone();
    }
}
