package org.cuminspur.soak.internal;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.cuminspur.standin.Delays;
import org.cuminspur.standin.users.LinkPump;

/**
 * Passes connections on to a port of the loopback address, or harms them as it is told; thread-safe.
 *
 * <p>Bytes that are held up while a link is silent go on once it is whole again, as they do on a network.
 */
final class FaultProxy implements AutoCloseable {
    /** What happens to bytes. */
    enum Mode {
        WHOLE,
        /** Nothing passes, in either direction, and nobody is told. */
        SILENT,
        /** What comes back from the target does not pass. */
        ONE_WAY,
        /** Each piece takes longer. */
        SLOW,
        /** Connections are reset, open ones and new ones. */
        RESET
    }

    private static final long POLL_MS = 5;
    private static final long SLOW_MS = 120;
    private static final int BACKLOG = 200;

    private final int target;
    private final ServerSocket server;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private volatile Mode mode = Mode.WHOLE;

    FaultProxy(int target) {
        this.target = target;
        try {
            server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        daemon(this::accept);
    }

    int port() {
        return server.getLocalPort();
    }

    void mode(Mode next) {
        mode = next;
        if (next == Mode.RESET) {
            open.forEach(FaultProxy::reset);
        }
    }

    @Override
    public void close() {
        open.forEach(FaultProxy::reset);
        try {
            server.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket near = server.accept();
                daemon(() -> join(near));
            } catch (IOException e) {
                // The proxy is closed.
                return;
            }
        }
    }

    private void join(Socket near) {
        open.add(near);
        try {
            if (mode == Mode.RESET) {
                reset(near);
                return;
            }
            awaitNot(Mode.SILENT);
            Socket far = new Socket(InetAddress.getLoopbackAddress(), target);
            open.add(far);
            daemon(() -> pump(far, near, true));
            pump(near, far, false);
        } catch (IOException e) {
            // The target does not listen, which the near side is to see.
            reset(near);
        }
    }

    private void pump(Socket from, Socket to, boolean back) {
        new LinkPump(from, to, () -> holds(back), open).run();
    }

    /** Returns whether bytes are held back now, after the delay of a slow link. */
    private boolean holds(boolean back) {
        if (mode == Mode.SLOW) {
            Delays.sleepMillis(SLOW_MS);
        }
        return !server.isClosed() && (mode == Mode.SILENT || (back && mode == Mode.ONE_WAY));
    }

    private void awaitNot(Mode held) {
        while (mode == held && !server.isClosed()) {
            Delays.sleepMillis(POLL_MS);
        }
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // It is closed already, which is all that is wanted.
        }
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task, "fault-proxy");
        thread.setDaemon(true);
        thread.start();
    }
}
