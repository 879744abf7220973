package org.cuminspur.standin.raw;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * An upstream that answers byte by byte as a script says, right or wrong; thread-safe.
 *
 * <p>Every connection runs the script on a thread of its own until the script returns, then closes.
 */
public final class RawUpstream implements AutoCloseable {
    /** What happens on a connection. */
    @FunctionalInterface
    public interface Script {
        /** Runs until the connection is to be closed. */
        void run(Connection connection) throws IOException;
    }

    private static final int SOCKET_TIMEOUT_MS = 20_000;
    private static final Pattern LENGTH = Pattern.compile("(?i)content-length: *(\\d+)");

    private final ServerSocket server;
    private final Script script;
    private final AtomicInteger connectionCount = new AtomicInteger();
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

    /** Returns the port that it listens on. */
    public int port() {
        return server.getLocalPort();
    }

    /** Returns how many connections were made to it. */
    public int connectionCount() {
        return connectionCount.get();
    }

    /** Tells the test that something happened. */
    public void recordEvent(String event) {
        events.add(event);
    }

    /** Waits for the next thing that the script told. */
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
        try (socket) {
            socket.setSoTimeout(SOCKET_TIMEOUT_MS);
            script.run(
                    new Connection(number, new BufferedInputStream(socket.getInputStream()), socket.getOutputStream()));
        } catch (IOException e) {
            recordEvent("failed");
        }
    }

    private static void startDaemon(Runnable task) {
        Thread thread = new Thread(task, "raw-upstream");
        thread.setDaemon(true);
        thread.start();
    }

    /** One connection, seen from the upstream. */
    public record Connection(int number, InputStream in, OutputStream out) {
        /** Reads a request's head; returns it, empty at the end of the connection. */
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

        /** Reads a whole request; returns its head. */
        public String readRequest() throws IOException {
            String head = readHead();
            Matcher length = LENGTH.matcher(head);
            in.readNBytes(length.find() ? Integer.parseInt(length.group(1)) : 0);
            return head;
        }

        /** Sends text as it is. */
        public void send(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.UTF_8));
            out.flush();
        }

        /** Sends whole answers with a length, all at once. */
        public void sendAnswers(String... bodies) throws IOException {
            send(Stream.of(bodies)
                    .map(body -> "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                    .collect(Collectors.joining()));
        }

        /** Waits until the other side closes. */
        public void awaitClose() throws IOException {
            while (in.read() >= 0) {
                // Whatever still comes is of no interest.
            }
        }
    }
}
