package org.cuminspur.router.internal.traffic;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Set;
import org.xnio.IoUtils;

/**
 * Knows which connections of callers are idle between two requests; used on the traffic thread.
 *
 * <p>A connection counts once it has carried a request, until it is closed.
 */
final class CallerConnections {
    private final Set<ServerConnection> known = Collections.newSetFromMap(new IdentityHashMap<>());
    private final Set<ServerConnection> idle = Collections.newSetFromMap(new IdentityHashMap<>());

    /** Notes that a request came. */
    void busy(HttpServerExchange exchange) {
        ServerConnection connection = exchange.getConnection();
        idle.remove(connection);
        if (known.add(connection)) {
            connection.addCloseListener(closed -> forget(connection));
        }
        exchange.addExchangeCompleteListener((ended, next) -> {
            if (known.contains(connection)) {
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
        known.remove(connection);
        idle.remove(connection);
    }
}
