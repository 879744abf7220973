package org.cuminspur.platform;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.cuminspur.standin.users.UsersConfig;

/** A caller of the platform that writes its requests byte by byte; used by one thread. */
final class Caller implements AutoCloseable {
    private static final int TIMEOUT_MS = 15_000;
    private static final Pattern LENGTH = Pattern.compile("(?i)content-length: *(\\d+)");

    private final Socket socket;

    Caller(int port) throws IOException {
        socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(TIMEOUT_MS);
    }

    /** Sends a POST with a body of two bytes; {@code headers} are whole lines, each with its end. */
    void post(String path, String id, String headers) throws IOException {
        send("POST " + path + " HTTP/1.1\r\nHost: " + UsersConfig.HOST + "\r\nAttempt-Id: " + id
                + "\r\nX-Api-Key: key\r\n" + headers + "Content-Length: 2\r\n\r\n{}");
    }

    void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /** Reads one answer to the end that its framing tells; throws if the connection ends before. */
    Answer answer() throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            head.append(next());
        }
        Matcher length = LENGTH.matcher(head);
        StringBuilder body = new StringBuilder();
        if (length.find()) {
            read(body, Integer.parseInt(length.group(1)));
        } else if (head.toString().toLowerCase(java.util.Locale.ROOT).contains("chunked")) {
            chunks(body);
        }
        return new Answer(head.toString(), body.toString());
    }

    /** Reads until the connection ends, in whatever way. */
    String rest() throws IOException {
        StringBuilder read = new StringBuilder();
        InputStream in = socket.getInputStream();
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

    private void chunks(StringBuilder body) throws IOException {
        while (true) {
            StringBuilder size = new StringBuilder();
            while (size.indexOf("\r\n") < 0) {
                size.append(next());
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
            to.append(next());
        }
    }

    private char next() throws IOException {
        int next = socket.getInputStream().read();
        if (next < 0) {
            throw new IOException("the connection ended");
        }
        return (char) next;
    }

    /** An answer; immutable. */
    record Answer(String head, String body) {
        int status() {
            return Integer.parseInt(head.split(" ", 3)[1]);
        }

        boolean has(String headerLine) {
            return head.toLowerCase(java.util.Locale.ROOT).contains(headerLine.toLowerCase(java.util.Locale.ROOT));
        }
    }
}
