package org.cuminspur.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Finds ports for processes that are about to start; thread-safe.
 *
 * <p>The ports are below those that the kernel gives to client connections, so that none takes one before its process listens.
 */
public final class FreePorts {
    private static final int FIRST_PORT = 12_000;
    private static final int LAST_PORT = 32_000;
    private static final AtomicInteger NEXT =
            new AtomicInteger(ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT));

    private FreePorts() {}

    /** Returns a port of the loopback address on which no process listens. */
    public static int next() {
        while (true) {
            int port = NEXT.getAndUpdate(last -> last + 1 < LAST_PORT ? last + 1 : FIRST_PORT);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (IOException e) {
                // Another process listens there, so the next one is tried.
                continue;
            }
        }
    }
}
