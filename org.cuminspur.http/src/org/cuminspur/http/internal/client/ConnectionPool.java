package org.cuminspur.http.internal.client;

import io.undertow.client.ClientConnection;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import org.cuminspur.http.client.ClientConnections;

/** Keeps idle connections for later calls; thread-safe. */
public final class ConnectionPool {
    private static final int MAX_IDLE_PER_ADDRESS = 64;

    /** Remote address of connections; immutable. */
    public record Address(String host, int port) {}

    private final Map<Address, Deque<ClientConnection>> idle = new ConcurrentHashMap<>();
    private volatile boolean closed;

    /** Removes and returns an open idle connection, or null if there is none. */
    public ClientConnection acquire(Address address) {
        Deque<ClientConnection> connections = idle.get(address);
        ClientConnection connection = connections == null ? null : connections.pollFirst();
        while (connection != null && !connection.isOpen()) {
            connection = connections.pollFirst();
        }
        return connection;
    }

    /** Takes back a connection whose last response was read completely. */
    public void release(Address address, ClientConnection connection) {
        Deque<ClientConnection> connections = idle.computeIfAbsent(address, key -> new ConcurrentLinkedDeque<>());
        if (!closed && connection.isOpen() && connections.size() < MAX_IDLE_PER_ADDRESS) {
            connections.addFirst(connection);
        } else {
            ClientConnections.closeInOrder(connection);
        }
    }

    /** Closes all idle connections, and later those that fall idle. */
    public void close() {
        closed = true;
        idle.values().forEach(connections -> connections.forEach(ClientConnections::closeInOrder));
        idle.clear();
    }
}
