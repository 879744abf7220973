package org.cuminspur.router.internal.caller;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.cuminspur.errors.ErrorKind;
import org.cuminspur.errors.Refusal;
import org.cuminspur.http.client.HttpHeader;
import org.cuminspur.once.StoredAnswer;
import org.xnio.IoUtils;

/**
 * Writes the answer to a caller.
 *
 * <p>Used by one worker thread. An answer that cannot be finished ends in an error event, if it is an event stream, or
 * in a closed connection, so that a short answer is never taken for a whole one.
 */
final class CallerAnswer {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final HttpString RUN_STATE = new HttpString("Cuminspur-Run-State");
    private static final HttpString REPEATED = new HttpString("Idempotent-Replayed");
    private static final HttpString ERROR_KIND = new HttpString("Cuminspur-Error");

    private final HttpServerExchange exchange;
    private final MetricRegistry metrics;
    private boolean eventStream;
    private AnswerTimes times = new AnswerTimes(() -> 0);

    CallerAnswer(HttpServerExchange exchange, MetricRegistry metrics) {
        this.exchange = exchange;
        this.metrics = metrics;
    }

    /** Sets what notes how and when this answer is written. */
    void times(AnswerTimes value) {
        times = value;
    }

    /** Begins an answer. */
    void begin(int status, List<HttpHeader> headers) {
        exchange.setStatusCode(status);
        times.begin(status);
        headers.forEach(header -> exchange.getResponseHeaders().add(new HttpString(header.name()), header.value()));
        eventStream = headers.stream()
                .anyMatch(header -> header.name().equalsIgnoreCase("Content-Type")
                        && header.value().startsWith("text/event-stream"));
    }

    /** Writes a piece of the body and sends it on at once. */
    void write(byte[] piece) throws IOException {
        exchange.getOutputStream().write(piece);
        exchange.getOutputStream().flush();
        times.piece();
    }

    /** Answers a repeat with the first request's answer. */
    void repeat(StoredAnswer stored) {
        exchange.setStatusCode(stored.status());
        times.begin(stored.status());
        exchange.getResponseHeaders().put(REPEATED, "true");
        if (!stored.contentType().isEmpty()) {
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, stored.contentType());
        }
        send(stored.body());
    }

    /** Answers with a refusal, or breaks the answer off if it has begun. */
    void refuse(Refusal refusal) {
        metrics.counter("refused." + refusal.kind().label()).inc();
        times.refuse(refusal.kind());
        if (exchange.isResponseStarted()) {
            breakOff(refusal);
            return;
        }
        ErrorKind kind = refusal.kind();
        exchange.getResponseHeaders().clear();
        exchange.setStatusCode(kind.status());
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseHeaders().put(RUN_STATE, kind.runState().label());
        exchange.getResponseHeaders().put(ERROR_KIND, kind.label());
        if (kind.comeBack()) {
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, refusal.retryAfterSeconds());
        }
        send(json(refusal));
    }

    private void breakOff(Refusal refusal) {
        if (eventStream) {
            send("\n\nevent: error\ndata: " + json(refusal) + "\n\n");
        } else {
            IoUtils.safeClose(exchange.getConnection());
        }
    }

    private void send(String text) {
        try {
            write(text.getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            IoUtils.safeClose(exchange.getConnection());
        }
    }

    private static String json(Refusal refusal) {
        ObjectNode root = JSON.createObjectNode();
        root.putObject("error")
                .put("type", refusal.kind().label())
                .put("message", refusal.kind().message())
                .put("detail", refusal.detail())
                .put("run_state", refusal.kind().runState().label());
        return root.toString();
    }
}
