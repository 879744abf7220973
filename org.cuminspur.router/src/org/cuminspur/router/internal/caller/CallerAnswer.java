package org.cuminspur.router.internal.caller;

import com.codahale.metrics.MetricRegistry;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.cuminspur.errors.Refusal;
import org.cuminspur.http.client.Cancellation;
import org.cuminspur.http.client.HttpHeader;
import org.cuminspur.once.StoredAnswer;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;

/**
 * Writes the answer to a caller.
 *
 * <p>Used by one worker thread. An answer that cannot be finished ends in an error event, if it is an event stream, or
 * in a closed connection, so that a short answer is never taken for a whole one.
 */
final class CallerAnswer implements AutoCloseable {
    /** Time after the deadline in which a refusal can still be written. */
    private static final long WRITE_GRACE_MS = 1_000;

    private static final HttpString REPEATED = new HttpString("Idempotent-Replayed");

    private final HttpServerExchange exchange;
    private final MetricRegistry metrics;
    private final Cancellation gone;
    private boolean eventStream;
    private XnioExecutor.Key limit;
    private RequestOutcomeRecorder times = new RequestOutcomeRecorder(() -> 0);

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
    Cancellation cancellation() {
        return gone;
    }

    /** Sets what notes how and when this answer is written. */
    void recordTo(RequestOutcomeRecorder value) {
        times = value;
    }

    /** Closes the caller's connection soon after the deadline, lest a caller that does not read holds the thread. */
    void closeConnectionAfter(long millis) {
        limit = exchange.getIoThread()
                .executeAfter(
                        () -> IoUtils.safeClose(exchange.getConnection()),
                        Math.max(0, millis) + WRITE_GRACE_MS,
                        TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        if (limit != null) {
            limit.remove();
        }
    }

    /** Returns whether a byte of the answer may have reached the caller. */
    boolean started() {
        return exchange.isResponseStarted();
    }

    /** Begins an answer, in place of one that did not start. */
    void begin(int status, List<HttpHeader> headers) {
        exchange.getResponseHeaders().clear();
        exchange.setStatusCode(status);
        times.recordStatus(status);
        headers.forEach(header -> exchange.getResponseHeaders().add(new HttpString(header.name()), header.value()));
        eventStream = EventStreams.isEventStream(headers);
        markEnd();
    }

    /** Writes a piece of the body and sends it on at once; returns whether the caller is still there. */
    boolean write(byte[] piece) {
        if (gone.cancelled()) {
            return false;
        }
        try {
            exchange.getOutputStream().write(piece);
            exchange.getOutputStream().flush();
            times.recordPiece();
            return true;
        } catch (IOException e) {
            gone.cancel();
            return false;
        }
    }

    /** Answers a repeat with the first request's answer. */
    void replay(StoredAnswer stored) {
        exchange.setStatusCode(stored.status());
        times.recordStatus(stored.status());
        exchange.getResponseHeaders().put(REPEATED, "true");
        if (!stored.contentType().isEmpty()) {
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, stored.contentType());
        }
        markEnd();
        send(stored.body());
    }

    /** Answers with a refusal, or marks the answer as incomplete if it has begun. */
    void refuse(Refusal refusal) {
        metrics.counter("refused." + refusal.kind().label()).inc();
        times.recordRefusal(refusal.kind());
        if (!started()) {
            RefusalResponse.setHead(exchange, refusal);
            markEnd();
            send(RefusalResponse.bodyJson(refusal));
        } else if (eventStream) {
            send("event: error\ndata: " + RefusalResponse.bodyJson(refusal) + "\n\n");
        } else {
            IoUtils.safeClose(exchange.getConnection());
        }
    }

    /** Lets the caller tell the end of the answer from a broken connection, also where the connection closes after it. */
    private void markEnd() {
        boolean bodyless = exchange.getRequestMethod().equals(Methods.HEAD)
                || exchange.getStatusCode() == StatusCodes.NO_CONTENT
                || exchange.getStatusCode() == StatusCodes.NOT_MODIFIED;
        if (exchange.isHttp11() && !bodyless) {
            exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, "chunked");
        }
    }

    private void send(String text) {
        if (!write(text.getBytes(StandardCharsets.UTF_8))) {
            IoUtils.safeClose(exchange.getConnection());
        }
    }
}
