package org.cuminspur.router.internal.caller;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import org.cuminspur.errors.ErrorKind;
import org.cuminspur.errors.Refusal;

/** Converts a refusal to the status, headers and body of an answer; stateless and thread-safe. */
final class RefusalResponse {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final HttpString RUN_STATE = new HttpString("Cuminspur-Run-State");
    private static final HttpString ERROR_KIND = new HttpString("Cuminspur-Error");

    private RefusalResponse() {}

    /** Sets status and headers of an answer that has not started. */
    static void setHead(HttpServerExchange exchange, Refusal refusal) {
        ErrorKind kind = refusal.kind();
        exchange.getResponseHeaders().clear();
        exchange.setStatusCode(kind.status());
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseHeaders().put(RUN_STATE, kind.runState().label());
        exchange.getResponseHeaders().put(ERROR_KIND, kind.label());
        if (kind.hasRetryAfter()) {
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, refusal.retryAfterSeconds());
        }
    }

    static String bodyJson(Refusal refusal) {
        ObjectNode root = JSON.createObjectNode();
        root.putObject("error")
                .put("type", refusal.kind().label())
                .put("message", refusal.kind().message())
                .put("detail", refusal.detail())
                .put("run_state", refusal.kind().runState().label());
        return root.toString();
    }
}
