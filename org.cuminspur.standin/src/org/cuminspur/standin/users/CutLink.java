package org.cuminspur.standin.users;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * Passes connections on to a port of the loopback address, and can be cut as a link to a machine is; thread-safe.
 *
 * <p>A link that hangs accepts no connection, so that an attempt to make one gets no answer.
 */
public final class CutLink implements AutoCloseable {
    /** What happens to connections. */
    public enum Mode {
        WHOLE,
        /**
         * Open connections and new ones hang. What is sent on open ones is held back and arrives when the link is whole again,
         * unless its sender resets the connection.
         */
        HANG,
        /** Open connections are reset, new ones hang. */
        RESET,
        /** Open connections are reset, new ones are refused. */
        REFUSE,
        /** Open connections live on, new ones are refused. */
        LIVE_ON
    }

    /** Ports below those that the system gives to client connections, so that none is taken while it is closed. */
    private static final int FIRST_PORT = 10_000;

    private static final int LAST_PORT = 20_000;
    private static final int BACKLOG = 16;
    private static final int POLL_MS = 5;

    /** Time in which a connection is made on the loopback address unless the queue of connections is full. */
    private static final int FULL_MS = 60;

    private final int target;
    private final int port;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final List<Socket> queued = new ArrayList<>();

    /** Local ports of connections that only fill the queue, and are not passed on when they are accepted later. */
    private final Set<Integer> fillers = ConcurrentHashMap.newKeySet();

    private volatile ServerSocket server;
    private volatile Mode mode = Mode.WHOLE;
    private volatile boolean closed;

    public CutLink(int target) {
        this.target = target;
        server = listen();
        port = server.getLocalPort();
        daemon(this::accept);
    }

    public int port() {
        return port;
    }

    /** Cuts the link or makes it whole. */
    public synchronized void mode(Mode next) {
        if (next == mode || closed) {
            return;
        }
        mode = next;
        try {
            if (next == Mode.RESET || next == Mode.REFUSE) {
                open.forEach(CutLink::reset);
            }
            if (next == Mode.REFUSE || next == Mode.LIVE_ON) {
                server.close();
            } else if (server.isClosed()) {
                server = bind(port);
            }
            if (next == Mode.HANG || next == Mode.RESET) {
                fillQueue();
            } else {
                queued.forEach(CutLink::reset);
                queued.clear();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public synchronized void close() {
        closed = true;
        open.forEach(CutLink::reset);
        queued.forEach(CutLink::reset);
        try {
            server.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void fillQueue() throws IOException {
        sleep(2 * POLL_MS);
        while (true) {
            Socket socket = new Socket();
            try {
                socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), FULL_MS);
                queued.add(socket);
                fillers.add(socket.getLocalPort());
            } catch (SocketTimeoutException e) {
                // The queue is full, as it is to be.
                socket.close();
                return;
            }
        }
    }

    private boolean accepts() {
        return mode == Mode.WHOLE;
    }

    private void accept() {
        while (!closed) {
            try {
                if (accepts()) {
                    Socket near = server.accept();
                    if (fillers.remove(near.getPort())) {
                        reset(near);
                    } else {
                        daemon(() -> pass(near));
                    }
                } else {
                    sleep(POLL_MS);
                }
            } catch (SocketTimeoutException e) {
                // Nobody has connected since; the mode may have changed.
                continue;
            } catch (IOException e) {
                // The port was closed as the link was cut, or the link itself.
                sleep(POLL_MS);
            }
        }
    }

    private void pass(Socket near) {
        open.add(near);
        try {
            Socket far = new Socket(InetAddress.getLoopbackAddress(), target);
            open.add(far);
            daemon(() -> pump(far, near));
            pump(near, far);
        } catch (IOException e) {
            // The target does not listen, which the near side is to see.
            reset(near);
        }
    }

    private void pump(Socket from, Socket to) {
        new LinkPump(from, to, () -> mode == Mode.HANG && !closed, open).run();
    }

    private static ServerSocket listen() {
        while (true) {
            int candidate = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
            try {
                return bind(candidate);
            } catch (IOException e) {
                // Another process listens there, so another port is tried.
                continue;
            }
        }
    }

    private static ServerSocket bind(int port) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), BACKLOG);
        socket.setSoTimeout(POLL_MS);
        return socket;
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // It is closed already, which is all that is wanted.
        }
    }

    private static void sleep(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task, "cut-link");
        thread.setDaemon(true);
        thread.start();
    }
}
