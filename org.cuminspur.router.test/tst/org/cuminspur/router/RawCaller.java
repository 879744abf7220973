package org.cuminspur.router;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.cuminspur.http.client.HttpHeader;

/** A caller that writes raw bytes to its socket, to send malformed or partial requests; used by one thread. */
final class RawCaller implements AutoCloseable {
    private static final int SOCKET_TIMEOUT_MS = 20_000;

    private final Socket socket;

    RawCaller(int port) throws IOException {
        socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(SOCKET_TIMEOUT_MS);
    }

    void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /** Sends a complete request with the account's key and a JSON body. */
    void request(String method, String path, String body) throws IOException {
        send(head(method, path, body.length()) + body);
    }

    /** Returns the head of a request with the account's key. */
    static String head(String method, String path, int length) {
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: router\r\n");
        for (HttpHeader header : RouterFleetFixture.callerHeaders()) {
            head.append(header.name()).append(": ").append(header.value()).append("\r\n");
        }
        return head.append("Content-Length: ").append(length).append("\r\n\r\n").toString();
    }

    /** Reads up to the end of a text and returns all that was read; fails if the connection ends first. */
    String readUntil(String expected) throws IOException {
        StringBuilder read = new StringBuilder();
        InputStream in = socket.getInputStream();
        while (read.indexOf(expected) < 0) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("the connection ended after: " + read);
            }
            read.append((char) next);
        }
        return read.toString();
    }

    /** Reads until the connection ends. */
    String readAll() throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
