package org.cuminspur.router.internal.traffic;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Set;
import org.xnio.IoUtils;

/**
 * Tracks which connections of callers are idle between two requests; used on the traffic thread.
 *
 * <p>A connection is tracked from its first request until it is closed.
 */
final class CallerConnectionTracker {
    private final Set<ServerConnection> tracked = Collections.newSetFromMap(new IdentityHashMap<>());
    private final Set<ServerConnection> idle = Collections.newSetFromMap(new IdentityHashMap<>());

    /** Marks the connection of a request as in use until its exchange completes. */
    void requestStarted(HttpServerExchange exchange) {
        ServerConnection connection = exchange.getConnection();
        idle.remove(connection);
        if (tracked.add(connection)) {
            connection.addCloseListener(closed -> forget(connection));
        }
        exchange.addExchangeCompleteListener((exchangeDone, next) -> {
            if (tracked.contains(connection)) {
                idle.add(connection);
            }
            next.proceed();
        });
    }

    /** Closes the idle connections. */
    void closeIdle() {
        List.copyOf(idle).forEach(IoUtils::safeClose);
    }

    private void forget(ServerConnection connection) {
        tracked.remove(connection);
        idle.remove(connection);
    }
}
