package org.cuminspur.router;

import org.cuminspur.control.RouterIdentity;
import org.cuminspur.http.platform.PlatformAddress;
import org.cuminspur.once.IdempotencySettings;

/**
 * A router's settings, parsed once at start; immutable.
 *
 * @param host IP address to listen on
 * @param idempotency what is retained of requests that must run at most once
 */
public record RouterSettings(
        RouterIdentity self,
        String host,
        Callers callers,
        Operators operators,
        Peers peers,
        Platform platform,
        IdempotencySettings idempotency) {
    /**
     * Settings of the server for callers; immutable.
     *
     * @param port TCP port, 0 for an ephemeral port
     * @param threads largest number of requests in progress at the same time
     * @param maxBodyBytes the largest request body
     * @param maxHeaderBytes the largest request head
     * @param bodyTimeoutMillis the longest time to receive a request's head, and its body
     * @param unreadyMillis how long new requests are still served after the router became unready at a planned stop
     * @param stopTimeoutMillis the longest wait for requests in progress at a planned stop
     */
    public record Callers(
            int port,
            int threads,
            long maxBodyBytes,
            int maxHeaderBytes,
            long bodyTimeoutMillis,
            long unreadyMillis,
            long stopTimeoutMillis) {}

    /**
     * Settings of the server for operators; immutable.
     *
     * @param port TCP port, 0 for an ephemeral port
     * @param key key that operators must present
     */
    public record Operators(int port, String key) {
        @Override
        public String toString() {
            return "Operators[port=" + port + "]";
        }
    }

    /**
     * Settings of the links to other routers; immutable.
     *
     * @param port TCP port, 0 for an ephemeral port
     * @param key key shared by all routers
     */
    public record Peers(int port, String key) {
        @Override
        public String toString() {
            return "Peers[port=" + port + "]";
        }
    }

    /**
     * Addresses of the platform's services; immutable.
     *
     * @param timeoutMillis the longest wait for a reply
     */
    public record Platform(PlatformAddress store, PlatformAddress instances, long timeoutMillis) {}
}
