package org.cuminspur.standin.users;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A caller on the deployment platform that writes raw HTTP requests on one connection; not thread-safe. */
public final class StandinCaller implements AutoCloseable {
    /** The API key of requests that name no other. */
    public static final String DEFAULT_API_KEY = "key";

    private static final int TIMEOUT_MS = 15_000;
    private static final Pattern LENGTH = Pattern.compile("(?i)content-length: *(\\d+)");

    private final Socket socket;
    private final InputStream in;
    private StringBuilder received = new StringBuilder();

    /** Connects to a port of the loopback address. */
    public StandinCaller(int port) throws IOException {
        this(port, TIMEOUT_MS);
    }

    /** Connects to a port of the loopback address; reads fail after the given time-out. */
    public StandinCaller(int port, int timeoutMillis) throws IOException {
        socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(timeoutMillis);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** Returns the header line with the time that the caller waits for an answer. */
    public static String deadlineHeader(long millis) {
        return "Deadline-Ms: " + millis + "\r\n";
    }

    /** Returns the header lines of a request whose prompt begins with the shared prefix of a number. */
    public static String promptHeaders(int shared) {
        return promptHeaders(shared, Optional.empty());
    }

    /** Returns the header lines of a request whose prompt has a second shared part, in hexadecimal, if there is one. */
    public static String promptHeaders(int shared, Optional<String> second) {
        String first = Integer.toHexString(0xa00 + shared) + ":900";
        String parts = second.map(part -> first + "," + part + ":100").orElse(first);
        return "Prompt-Prefix: " + parts + ",b2:10\r\nToken-Usage: 1010,20\r\n";
    }

    /** Sends a POST with a two-byte body; {@code headers} are complete lines with their line ends. */
    public void post(String path, String id, String headers) throws IOException {
        post(path, id, DEFAULT_API_KEY, headers);
    }

    /** Sends a POST with an API key. */
    public void post(String path, String id, String key, String headers) throws IOException {
        post(path, id, key, headers, "{}");
    }

    /** Sends a POST with an API key and a body in ASCII. */
    public void post(String path, String id, String key, String headers, String body) throws IOException {
        send("POST " + path + " HTTP/1.1\r\nHost: " + OperatorConfigBuilder.HOST + "\r\nAttempt-Id: " + id
                + "\r\nX-Api-Key: " + key + "\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body);
    }

    /** Sends text without framing. */
    public void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /** Reads one complete answer as its framing defines it; throws if the connection ends early. */
    public Answer readAnswer() throws IOException {
        received = new StringBuilder();
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            head.append(readChar());
        }
        Matcher length = LENGTH.matcher(head);
        StringBuilder body = new StringBuilder();
        received = body;
        if (length.find()) {
            read(body, Integer.parseInt(length.group(1)));
        } else if (head.toString().toLowerCase(java.util.Locale.ROOT).contains("chunked")) {
            readChunks(body);
        } else {
            body.append(readToEnd());
        }
        return new Answer(head.toString(), body.toString());
    }

    /** Returns what was received of the body of the last answer, which may be incomplete. */
    public String receivedBody() {
        return received.toString();
    }

    /** Reads up to the first {@code end} after a {@code mark} and returns all that was read. */
    public String readUntil(String mark, String end) throws IOException {
        StringBuilder read = new StringBuilder();
        while (read.indexOf(mark) < 0 || read.indexOf(end, read.indexOf(mark)) < 0) {
            read.append(readChar());
        }
        return read.toString();
    }

    /** Reads until the connection ends; appends {@code <reset>} if it was reset. */
    public String readToEnd() throws IOException {
        StringBuilder read = new StringBuilder();
        try {
            for (int next = in.read(); next >= 0; next = in.read()) {
                read.append((char) next);
            }
        } catch (java.net.SocketException e) {
            read.append("<reset>");
        }
        return read.toString();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    private void readChunks(StringBuilder body) throws IOException {
        while (true) {
            StringBuilder size = new StringBuilder();
            while (size.indexOf("\r\n") < 0) {
                size.append(readChar());
            }
            int bytes = Integer.parseInt(size.toString().strip(), 16);
            read(body, bytes);
            read(new StringBuilder(), 2);
            if (bytes == 0) {
                return;
            }
        }
    }

    private void read(StringBuilder to, int bytes) throws IOException {
        for (int i = 0; i < bytes; i++) {
            to.append(readChar());
        }
    }

    private char readChar() throws IOException {
        int next = in.read();
        if (next < 0) {
            throw new IOException("the connection ended");
        }
        return (char) next;
    }

    /** A received answer; immutable. */
    public record Answer(String head, String body) {
        public int status() {
            return Integer.parseInt(head.split(" ", 3)[1]);
        }

        /** Returns whether the head contains a text, ignoring case. */
        public boolean headContains(String headerLine) {
            return head.toLowerCase(java.util.Locale.ROOT).contains(headerLine.toLowerCase(java.util.Locale.ROOT));
        }
    }
}
