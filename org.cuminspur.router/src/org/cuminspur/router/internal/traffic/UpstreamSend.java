package org.cuminspur.router.internal.traffic;

import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import org.cuminspur.http.client.ClientConnections;
import org.cuminspur.traffic.UpstreamState;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * Sends one request to one upstream and hands on what comes back.
 *
 * <p>Used on one input-output thread. Exactly one of the listener's ends is called, unless the send was cancelled. A
 * connection is kept only if request and answer went over it whole and nothing came after.
 */
final class UpstreamSend {
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;
    /** Bodies up to this size reach an upstream in one piece; a larger one may be answered before it was read. */
    private static final int MOST_UNREAD_BYTES = 64 * 1_024;

    private static final long SECOND_MS = 1_000;

    /** Receives what becomes of the request. */
    interface Listener {
        /** No byte of the request was sent. */
        void notConnected(UpstreamSend send);

        /** An answer began. */
        void answered(UpstreamSend send, int status, HeaderMap headers);

        /** A part of the body came; the buffer is valid during the call only. */
        void body(UpstreamSend send, ByteBuffer bytes);

        /** The answer is whole. */
        void ended(UpstreamSend send);

        /** The connection broke before the answer was whole. */
        void broken(UpstreamSend send);
    }

    private final UpstreamState upstream;
    private final UpstreamConnections connections;
    private final ByteBuffer buffer;
    private final Listener listener;
    private ClientRequest request;
    private byte[] body;
    private ClientConnection connection;
    private StreamSourceChannel source;
    private long keepMillis = UpstreamConnections.DEFAULT_KEEP_MS;
    private boolean requestWritten;
    private boolean reused;
    private boolean over;
    private boolean discarding;
    private String cause = "";

    /**
     * Prepares a send.
     *
     * @param buffer shared by all sends of the thread
     */
    UpstreamSend(UpstreamState upstream, UpstreamConnections connections, ByteBuffer buffer, Listener listener) {
        this.upstream = upstream;
        this.connections = connections;
        this.buffer = buffer;
        this.listener = listener;
    }

    UpstreamState upstream() {
        return upstream;
    }

    /** Returns whether the connection had served before. */
    boolean reused() {
        return reused;
    }

    /** Returns why the connection broke, for people; empty if it did not. */
    String cause() {
        return cause;
    }

    /** Sends the request. */
    void start(ClientRequest what, byte[] content) {
        request = what;
        body = content;
        ClientConnection idle = connections.take(upstream);
        if (idle != null) {
            reused = true;
            send(idle);
        } else {
            connect();
        }
    }

    private void connect() {
        connections.connect(upstream, this::connected, this::notConnected);
    }

    /** Takes a new connection in place of an idle one that turned out closed before a byte went over it. */
    private void replace(IOException why) {
        IoUtils.safeClose(connection);
        if (reused && !over) {
            connection = null;
            reused = false;
            connect();
        } else {
            notConnected(why);
        }
    }

    /** Gives the answer up and closes the connection, which cancels the request at the upstream. */
    void cancel() {
        if (!over) {
            over = true;
            abort();
        }
    }

    /** Reads the rest of the answer without handing it on, so that the connection can serve again. */
    void discard() {
        discarding = true;
    }

    /** Stops or goes on reading the answer. */
    void pause(boolean pause) {
        if (source != null && !over) {
            if (pause) {
                source.suspendReads();
            } else {
                source.resumeReads();
            }
        }
    }

    private void connected(ClientConnection opened) {
        if (over) {
            IoUtils.safeClose(opened);
        } else {
            send(opened);
        }
    }

    private void notConnected(IOException why) {
        if (!over) {
            over = true;
            cause = why.getCause() == null ? why.toString() : why.getCause().toString();
            listener.notConnected(this);
        }
    }

    private void send(ClientConnection to) {
        connection = to;
        to.getCloseSetter().set(closed -> failSoon(to));
        connection.sendRequest(request, ClientConnections.callback(exchange -> sendBody(to, exchange), this::replace));
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
                // This side of it was closed before the first write, so nothing was sent.
                replace(e);
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
        if (over) {
            return;
        }
        ClientResponse response = exchange.getResponse();
        // After an answer that came before the whole request was read, the client library may close its half.
        boolean readBefore = requestWritten && body.length <= MOST_UNREAD_BYTES;
        keepMillis = readBefore ? keepMillis(response.getResponseHeaders()) : 0;
        source = exchange.getResponseChannel();
        listener.answered(this, response.getResponseCode(), response.getResponseHeaders());
        if (over) {
            return;
        }
        if (response.getResponseCode() == NO_CONTENT || response.getResponseCode() == NOT_MODIFIED) {
            keepMillis = 0;
            finish();
            return;
        }
        source.getReadSetter().set(readable -> read());
        read();
    }

    private void read() {
        try {
            while (!over) {
                buffer.clear();
                int count = source.read(buffer);
                if (count < 0) {
                    finish();
                    return;
                } else if (count == 0) {
                    source.resumeReads();
                    return;
                } else if (!discarding) {
                    buffer.flip();
                    listener.body(this, buffer);
                }
            }
        } catch (IOException e) {
            fail(e);
        }
    }

    private void finish() {
        over = true;
        connection.getCloseSetter().set(null);
        if (keepMillis > 0) {
            // One turn later, so that bytes which follow the answer have closed the connection by then.
            connection.getIoThread().execute(() -> connections.give(upstream, connection, keepMillis));
        } else {
            abort();
        }
        if (!discarding) {
            listener.ended(this);
        }
    }

    /** Lets a read that is under way see the end of the body first, since its end may be what closes the connection. */
    private void failSoon(ClientConnection closed) {
        closed.getIoThread().execute(() -> fail(closed, new ClosedChannelException()));
    }

    /** Fails if the connection is the present one; one that was replaced says nothing of the one in its place. */
    private void fail(ClientConnection of, IOException why) {
        if (of == connection) {
            fail(why);
        }
    }

    private void fail(IOException why) {
        if (!over) {
            over = true;
            cause = why.toString();
            abort();
            if (!discarding) {
                listener.broken(this);
            }
        }
    }

    private void abort() {
        if (connection != null) {
            connection.getCloseSetter().set(null);
            ClientConnections.abort(connection);
        }
    }

    /** Reads for how long the upstream keeps an idle connection, 0 if it closes this one. */
    private static long keepMillis(HeaderMap headers) {
        String close = headers.getFirst(Headers.CONNECTION);
        if (close != null && close.equalsIgnoreCase("close")) {
            return 0;
        }
        String keep = headers.getFirst(Headers.KEEP_ALIVE);
        int at = keep == null ? -1 : keep.indexOf("timeout=");
        if (at < 0) {
            return UpstreamConnections.DEFAULT_KEEP_MS;
        }
        String seconds = keep.substring(at + "timeout=".length()).split("[,; ]", 2)[0];
        return seconds.matches("\\d{1,6}") ? Long.parseLong(seconds) * SECOND_MS : UpstreamConnections.DEFAULT_KEEP_MS;
    }
}
