package org.cuminspur.router.internal.caller;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import java.io.IOException;
import org.cuminspur.http.client.BodyFraming;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;
import org.xnio.Options;

/** Ends connections of callers; stateless and thread-safe. */
public final class CallerConnections {
    private static final Logger log = LoggerFactory.getLogger(CallerConnections.class);

    private CallerConnections() {}

    /** Returns the framing of the response's body, as the caller sees it. */
    public static BodyFraming framing(HttpServerExchange exchange) {
        return BodyFraming.of(exchange.getRequestMethod(), exchange.getStatusCode(), exchange.getResponseHeaders());
    }

    /**
     * Closes the connection of a response that is incomplete.
     *
     * <p>Where only the connection marks the end of the body, as with HTTP/1.0, it is reset: an orderly end would make the
     * response look complete.
     */
    public static void abortResponse(HttpServerExchange exchange) {
        ServerConnection connection = exchange.getConnection();
        if (exchange.isResponseStarted() && framing(exchange) == BodyFraming.CONNECTION_END) {
            try {
                connection.setOption(Options.CLOSE_ABORT, true);
            } catch (IOException e) {
                log.warn("event=reset-failed", e);
            }
        }
        IoUtils.safeClose(connection);
    }
}
