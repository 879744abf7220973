package org.cuminspur.router;

import org.cuminspur.control.RouterIdentity;
import org.cuminspur.http.platform.PlatformAddress;
import org.cuminspur.once.IdempotencySettings;

/**
 * A router's settings, parsed once at start; immutable.
 *
 * @param host IP address to listen on
 * @param once what is kept of actions that must run at most once
 */
public record RouterSettings(
        RouterIdentity self,
        String host,
        Callers callers,
        Operators operators,
        Peers peers,
        Platform platform,
        IdempotencySettings once) {
    /**
     * How callers are served; immutable.
     *
     * @param port TCP port, 0 for any free one
     * @param threads requests that can be in progress at the same time
     * @param maxBodyBytes the largest request body
     * @param maxHeaderBytes the largest request head
     * @param bodyTimeoutMillis the longest time of a request's head, and of its body
     * @param unreadyMillis how long new requests are served after the router became unready at a planned stop
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
     * How operators are served; immutable.
     *
     * @param port TCP port, 0 for any free one
     * @param key key that operators give
     */
    public record Operators(int port, String key) {
        @Override
        public String toString() {
            return "Operators[port=" + port + "]";
        }
    }

    /**
     * How other routers are met; immutable.
     *
     * @param port TCP port, 0 for any free one
     * @param key key shared by all routers
     */
    public record Peers(int port, String key) {
        @Override
        public String toString() {
            return "Peers[port=" + port + "]";
        }
    }

    /**
     * Where the platform's services are; immutable.
     *
     * @param timeoutMillis the longest wait for a reply
     */
    public record Platform(PlatformAddress store, PlatformAddress instances, long timeoutMillis) {}
}
