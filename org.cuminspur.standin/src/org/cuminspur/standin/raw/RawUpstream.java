package org.cuminspur.standin.raw;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * An upstream whose script writes the raw bytes of each answer, valid HTTP or not; thread-safe.
 *
 * <p>Each connection runs the script on its own thread and closes when the script returns.
 */
public final class RawUpstream implements AutoCloseable {
    /** Handles one connection. */
    @FunctionalInterface
    public interface Script {
        /** Serves the connection, which closes on return. */
        void run(Connection connection) throws IOException;
    }

    private static final int SOCKET_TIMEOUT_MS = 20_000;
    private static final Pattern LENGTH = Pattern.compile("(?i)content-length: *(\\d+)");

    private final ServerSocket server;
    private final Script script;
    private final AtomicInteger connectionCount = new AtomicInteger();
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();

    public RawUpstream(Script script) {
        this.script = script;
        try {
            server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        startDaemon(this::accept);
    }

    public int port() {
        return server.getLocalPort();
    }

    /** Limits what the kernel takes of each later connection before it is read. */
    public void limitReceiveBuffer(int bytes) {
        try {
            server.setReceiveBufferSize(bytes);
        } catch (SocketException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the number of connections accepted. */
    public int connectionCount() {
        return connectionCount.get();
    }

    /** Records an event for {@link #awaitEvent}. */
    public void recordEvent(String event) {
        events.add(event);
    }

    /** Waits for the next recorded event; returns null if none comes within 20 s. */
    public String awaitEvent() {
        try {
            return events.poll(SOCKET_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return "interrupted";
        }
    }

    @Override
    public void close() {
        try {
            server.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Closes the port and all connections at once, as the end of a process does. */
    public void crash() {
        close();
        sockets.forEach(socket -> {
            try {
                socket.close();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                startDaemon(() -> serve(socket, connectionCount.incrementAndGet()));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket, int number) {
        sockets.add(socket);
        try (socket) {
            socket.setSoTimeout(SOCKET_TIMEOUT_MS);
            socket.setTcpNoDelay(true);
            script.run(new Connection(
                    number, new BufferedInputStream(socket.getInputStream()), socket.getOutputStream(), socket));
        } catch (IOException e) {
            recordEvent("failed");
        } finally {
            sockets.remove(socket);
        }
    }

    private static void startDaemon(Runnable task) {
        Thread thread = new Thread(task, "raw-upstream");
        thread.setDaemon(true);
        thread.start();
    }

    /** How a peer ends a connection. */
    public enum End {
        CLOSED,
        RESET
    }

    /** The upstream's side of one connection. */
    public record Connection(int number, InputStream in, OutputStream out, Socket socket) {
        /** Reads and returns a request's head; empty at the end of the connection. */
        public String readHead() throws IOException {
            StringBuilder head = new StringBuilder();
            for (int next = in.read(); next >= 0; next = in.read()) {
                head.append((char) next);
                if (head.length() > 3 && head.substring(head.length() - 4).equals("\r\n\r\n")) {
                    return head.toString();
                }
            }
            return "";
        }

        /** Reads a request with its body; returns its head. */
        public String readRequest() throws IOException {
            String head = readHead();
            Matcher length = LENGTH.matcher(head);
            in.readNBytes(length.find() ? Integer.parseInt(length.group(1)) : 0);
            return head;
        }

        /** Sends text without framing. */
        public void send(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.UTF_8));
            out.flush();
        }

        /** Sends text without framing, each character as one byte. */
        public void sendBytes(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        /** Sends complete answers with a Content-Length, all in one write. */
        public void sendAnswers(String... bodies) throws IOException {
            send(Stream.of(bodies)
                    .map(body -> "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                    .collect(Collectors.joining()));
        }

        /** Resets the connection instead of ending it in order. */
        public void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        /** Reads until the peer closes or resets the connection, and returns which of the two it does. */
        public End awaitClose() throws IOException {
            try {
                while (in.read() >= 0) {
                    // Remaining input is discarded.
                }
                return End.CLOSED;
            } catch (SocketException e) {
                return End.RESET;
            }
        }
    }
}
