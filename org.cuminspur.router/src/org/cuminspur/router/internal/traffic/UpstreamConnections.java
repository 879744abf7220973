package org.cuminspur.router.internal.traffic;

import io.undertow.UndertowOptions;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import java.io.IOException;
import java.net.URI;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.concurrent.CancellationException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cuminspur.time.Clock;
import org.cuminspur.traffic.UpstreamState;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Keeps the idle connections to upstreams.
 *
 * <p>Used on one input-output thread. Connections belong to one start of an upstream's process and are closed with it.
 */
final class UpstreamConnections {
    /**
     * Longest wait for a connection; below half a second, in which a caller can still be served elsewhere, and above the
     * time that a series of configurations takes on a link of 10 Mbit/s.
     */
    private static final long CONNECT_TIMEOUT_MS = 400;

    /** Turn of the thread in which a connection that was made while the thread stood still is still seen. */
    private static final long LAST_LOOK_MS = 2;

    /** Idle connections are given up this long before the upstream says that it closes them. */
    private static final long KEEP_MARGIN_MS = 1_000;

    /** Idle time after which a connection is given up where the upstream says nothing. */
    static final long DEFAULT_KEEP_MS = 30_000;

    private static final OptionMap OPTIONS =
            OptionMap.create(UndertowOptions.ENABLE_HTTP2, false, Options.TCP_NODELAY, true);

    /** An open connection and the time until which it may lie idle; immutable. */
    record Idle(ClientConnection connection, long untilMillis) {}

    private final XnioIoThread thread;
    private final ByteBufferPool buffers;
    private final Clock clock;
    private final Map<UpstreamState, Deque<Idle>> idle = new IdentityHashMap<>();

    UpstreamConnections(XnioIoThread thread, ByteBufferPool buffers, Clock clock) {
        this.thread = thread;
        this.buffers = buffers;
        this.clock = clock;
    }

    /** Returns an idle connection, or null if there is none. */
    ClientConnection take(UpstreamState upstream) {
        Deque<Idle> connections = idle.get(upstream);
        while (connections != null && !connections.isEmpty()) {
            Idle first = connections.pollFirst();
            if (first.connection().isOpen() && clock.millis() < first.untilMillis()) {
                return first.connection();
            }
            IoUtils.safeClose(first.connection());
        }
        return null;
    }

    /** Keeps a connection whose last answer was read whole. */
    void give(UpstreamState upstream, ClientConnection connection, long keepMillis) {
        if (connection.isOpen() && keepMillis > KEEP_MARGIN_MS) {
            idle.computeIfAbsent(upstream, absent -> new ArrayDeque<>())
                    .addFirst(new Idle(connection, clock.millis() + keepMillis - KEEP_MARGIN_MS));
        } else {
            IoUtils.safeClose(connection);
        }
    }

    /** Opens a connection; one of the two is called, later. */
    void connect(UpstreamState upstream, Consumer<ClientConnection> opened, Consumer<IOException> failed) {
        URI uri = URI.create(
                "http://" + upstream.entry().host() + ":" + upstream.entry().port());
        IoFuture<ClientConnection> connecting = UndertowClient.getInstance().connect(uri, thread, buffers, OPTIONS);
        Opening opening = new Opening(opened, failed);
        connecting.addNotifier((done, none) -> thread.execute(() -> opening.ended(done)), null);
        opening.timeout = thread.executeAfter(
                () -> thread.executeAfter(opening::timedOut, LAST_LOOK_MS, TimeUnit.MILLISECONDS),
                CONNECT_TIMEOUT_MS,
                TimeUnit.MILLISECONDS);
    }

    /** Closes the idle connections to an upstream that is gone. */
    void forget(UpstreamState upstream) {
        Deque<Idle> connections = idle.remove(upstream);
        if (connections != null) {
            connections.forEach(one -> IoUtils.safeClose(one.connection()));
        }
    }

    /** Closes connections that have been idle for too long. */
    void sweep() {
        long now = clock.millis();
        idle.values()
                .forEach(connections -> connections.removeIf(one -> {
                    boolean over = !one.connection().isOpen() || now >= one.untilMillis();
                    if (over) {
                        IoUtils.safeClose(one.connection());
                    }
                    return over;
                }));
    }

    /** A connection on its way, whose end is told once; the client library cannot give one up. */
    private static final class Opening {
        private final Consumer<ClientConnection> opened;
        private final Consumer<IOException> failed;
        private XnioExecutor.Key timeout;
        private boolean over;

        Opening(Consumer<ClientConnection> opened, Consumer<IOException> failed) {
            this.opened = opened;
            this.failed = failed;
        }

        void ended(IoFuture<? extends ClientConnection> connecting) {
            try {
                ClientConnection connection = connecting.get();
                if (over) {
                    IoUtils.safeClose(connection);
                } else {
                    over = true;
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

        private void fail(IOException why) {
            if (!over) {
                over = true;
                failed.accept(why);
            }
        }
    }
}
