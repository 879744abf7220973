package org.cuminspur.router.internal.traffic;

import io.undertow.UndertowOptions;
import io.undertow.client.ClientConnection;
import io.undertow.connector.ByteBufferPool;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.util.ArrayDeque;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CancellationException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cuminspur.http.client.ClientConnections;
import org.cuminspur.time.Clock;
import org.cuminspur.traffic.Destination;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Pool of the idle connections to upstreams.
 *
 * <p>Used on one I/O thread. Connections belong to one run of an upstream's process and are closed with it. Only this pool closes
 * one in order; one that it has given out is reset as it closes.
 */
final class UpstreamConnectionPool {
    /**
     * Longest wait for a connection: below half a second, in which a caller can still be served elsewhere, and above the
     * time that a series of configurations takes on a link of 10 Mbit/s.
     */
    private static final long CONNECT_TIMEOUT_MS = 400;

    /** Delay in which a connection made while the thread was stalled is still handled. */
    private static final long TIMEOUT_RECHECK_MS = 2;

    /** Idle connections are closed this long before the upstream would close them. */
    private static final long KEEP_ALIVE_MARGIN_MS = 1_000;

    /** Idle time after which a connection is closed where the upstream announces none. */
    static final long DEFAULT_KEEP_ALIVE_MS = 30_000;

    /** Message of the exception for a refused connection; there is no type for it. */
    private static final String REFUSED = "Connection refused";

    private static final OptionMap OPTIONS =
            OptionMap.create(UndertowOptions.ENABLE_HTTP2, false, Options.TCP_NODELAY, true);

    /** Receives the outcomes of new connections. */
    interface ConnectListener {
        void connected(Destination destination);

        /** No connection was made by the attempt that began at a time. */
        void connectFailed(Destination destination, long startedMillis);
    }

    /** An open connection and the time until which it may stay idle; immutable. */
    record Idle(ClientConnection connection, long untilMillis) {}

    private final XnioIoThread thread;
    private final ByteBufferPool buffers;
    private final Clock clock;
    private final ConnectListener listener;
    private final Map<Destination, Deque<Idle>> idle = new HashMap<>();

    /**
     * Creates an empty pool.
     *
     * @param listener receives the outcome of each new connection
     */
    UpstreamConnectionPool(XnioIoThread thread, ByteBufferPool buffers, Clock clock, ConnectListener listener) {
        this.thread = thread;
        this.buffers = buffers;
        this.clock = clock;
        this.listener = listener;
    }

    /**
     * Takes an idle connection out of the pool, or returns null if there is none.
     *
     * @param requestId request that is to be sent; a connection that has brought a refusal or failure of it is not taken
     */
    ClientConnection take(Destination destination, String requestId) {
        Deque<Idle> connections = idle.get(destination);
        long now = clock.millis();
        Iterator<Idle> candidates = connections == null ? Collections.emptyIterator() : connections.iterator();
        while (candidates.hasNext()) {
            Idle candidate = candidates.next();
            ClientConnection connection = candidate.connection();
            boolean usable = connection.isOpen() && now < candidate.untilMillis();
            if (!usable) {
                candidates.remove();
                ClientConnections.closeInOrder(connection);
            } else if (!UnsuccessfulResponses.of(connection).contains(requestId)) {
                candidates.remove();
                return connection;
            }
        }
        return null;
    }

    /** Returns a connection to the pool; its last response must have been read completely. */
    void release(Destination destination, ClientConnection connection, long keepAliveMillis) {
        if (connection.isOpen() && keepAliveMillis > KEEP_ALIVE_MARGIN_MS) {
            idle.computeIfAbsent(destination, absent -> new ArrayDeque<>())
                    .addFirst(new Idle(connection, clock.millis() + keepAliveMillis - KEEP_ALIVE_MARGIN_MS));
        } else {
            ClientConnections.closeInOrder(connection);
        }
    }

    /** Opens a connection; exactly one of the two callbacks is called, after this call returns. */
    void connect(Destination destination, Consumer<ClientConnection> opened, Consumer<IOException> failed) {
        long startedMillis = clock.millis();
        PendingConnect pending = new PendingConnect(
                connection -> {
                    listener.connected(destination);
                    opened.accept(connection);
                },
                cause -> {
                    listener.connectFailed(destination, startedMillis);
                    failed.accept(cause);
                });
        pending.timeout = thread.executeAfter(
                () -> thread.executeAfter(pending::timedOut, TIMEOUT_RECHECK_MS, TimeUnit.MILLISECONDS),
                CONNECT_TIMEOUT_MS,
                TimeUnit.MILLISECONDS);
        try {
            URI uri = URI.create("http://" + destination.host() + ":" + destination.port());
            IoFuture<ClientConnection> connecting = ClientConnections.connect(uri, thread, buffers, OPTIONS);
            connecting.addNotifier((done, none) -> thread.execute(() -> pending.completed(done)), null);
        } catch (IllegalArgumentException e) {
            // The address is none, or the client library cannot connect to it.
            thread.execute(() -> pending.fail(new IOException("no connection to " + destination.host(), e)));
        }
    }

    /** Opens a connection to see whether the process listens, and keeps it. */
    void probe(Destination destination, Runnable listening, Consumer<IOException> failed) {
        connect(
                destination,
                opened -> {
                    release(destination, opened, DEFAULT_KEEP_ALIVE_MS);
                    listening.run();
                },
                failed);
    }

    /** Returns whether the reason why no connection was made is that no process listens at the address. */
    static boolean isRefused(IOException failure) {
        Throwable cause = failure.getCause() == null ? failure : failure.getCause();
        return cause instanceof ConnectException && REFUSED.equals(cause.getMessage());
    }

    /** Closes the idle connections to a process that is gone. */
    void closeAll(Destination destination) {
        Deque<Idle> connections = idle.remove(destination);
        if (connections != null) {
            connections.forEach(entry -> ClientConnections.closeInOrder(entry.connection()));
        }
    }

    /** Closes all idle connections. */
    void closeAll() {
        List.copyOf(idle.keySet()).forEach(this::closeAll);
    }

    /** Closes the connections that have been idle for too long. */
    void closeExpired() {
        long now = clock.millis();
        idle.values()
                .forEach(connections -> connections.removeIf(entry -> {
                    boolean expired = !entry.connection().isOpen() || now >= entry.untilMillis();
                    if (expired) {
                        ClientConnections.closeInOrder(entry.connection());
                    }
                    return expired;
                }));
    }

    /** A connection attempt that reports its result once; the client library cannot cancel one. */
    private static final class PendingConnect {
        private final Consumer<ClientConnection> opened;
        private final Consumer<IOException> failed;
        private XnioExecutor.Key timeout;
        private boolean reported;

        PendingConnect(Consumer<ClientConnection> opened, Consumer<IOException> failed) {
            this.opened = opened;
            this.failed = failed;
        }

        void completed(IoFuture<? extends ClientConnection> connecting) {
            try {
                ClientConnection connection = connecting.get();
                if (reported) {
                    IoUtils.safeClose(connection);
                } else {
                    reported = true;
                    timeout.remove();
                    opened.accept(connection);
                }
            } catch (IOException | CancellationException e) {
                fail(new IOException("no connection", e));
            }
        }

        void timedOut() {
            fail(new IOException("no connection within " + CONNECT_TIMEOUT_MS + " ms"));
        }

        private void fail(IOException cause) {
            if (!reported) {
                reported = true;
                timeout.remove();
                failed.accept(cause);
            }
        }
    }
}
