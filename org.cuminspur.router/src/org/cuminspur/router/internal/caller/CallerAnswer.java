package org.cuminspur.router.internal.caller;

import com.codahale.metrics.MetricRegistry;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.cuminspur.errors.Refusal;
import org.cuminspur.http.client.Cancellation;
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
    private static final HttpString REPEATED = new HttpString("Idempotent-Replayed");

    private final HttpServerExchange exchange;
    private final MetricRegistry metrics;
    private final Cancellation gone;
    private boolean eventStream;

    /**
     * Makes an answer.
     *
     * @param gone cancelled when the caller closes its connection
     */
    CallerAnswer(HttpServerExchange exchange, MetricRegistry metrics, Cancellation gone) {
        this.exchange = exchange;
        this.metrics = metrics;
        this.gone = gone;
    }

    /** Returns what is cancelled when the caller goes away. */
    Cancellation gone() {
        return gone;
    }

    /** Returns whether a byte of the answer may have reached the caller. */
    boolean started() {
        return exchange.isResponseStarted();
    }

    /** Begins an answer, in place of one that did not start. */
    void begin(int status, List<HttpHeader> headers) {
        exchange.getResponseHeaders().clear();
        exchange.setStatusCode(status);
        headers.forEach(header -> exchange.getResponseHeaders().add(new HttpString(header.name()), header.value()));
        eventStream = EventStreams.isOne(headers);
    }

    /** Writes a piece of the body and sends it on at once; returns whether the caller is still there. */
    boolean write(byte[] piece) {
        if (gone.cancelled()) {
            return false;
        }
        try {
            exchange.getOutputStream().write(piece);
            exchange.getOutputStream().flush();
            return true;
        } catch (IOException e) {
            gone.cancel();
            return false;
        }
    }

    /** Answers a repeat with the first request's answer. */
    void repeat(StoredAnswer stored) {
        exchange.setStatusCode(stored.status());
        exchange.getResponseHeaders().put(REPEATED, "true");
        if (!stored.contentType().isEmpty()) {
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, stored.contentType());
        }
        send(stored.body());
    }

    /** Answers with a refusal, or marks the answer as incomplete if it has begun. */
    void refuse(Refusal refusal) {
        metrics.counter("refused." + refusal.kind().label()).inc();
        if (!started()) {
            RefusalHead.set(exchange, refusal);
            send(RefusalHead.json(refusal));
        } else if (eventStream) {
            send("event: error\ndata: " + RefusalHead.json(refusal) + "\n\n");
        } else {
            IoUtils.safeClose(exchange.getConnection());
        }
    }

    private void send(String text) {
        if (!write(text.getBytes(StandardCharsets.UTF_8))) {
            IoUtils.safeClose(exchange.getConnection());
        }
    }
}
