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
import org.cuminspur.http.client.BodyEnd;
import org.cuminspur.http.client.Cancellation;
import org.cuminspur.http.client.HttpHeader;
import org.cuminspur.once.StoredAnswer;
import org.xnio.XnioExecutor;

/**
 * Writes the answer to a caller.
 *
 * <p>Used by one worker thread. An answer that cannot be completed ends with an error event, if it is an event stream,
 * or with a closed or reset connection, so that a caller never takes a truncated answer for a complete one.
 */
final class CallerAnswer implements AutoCloseable {
    /** Time after the deadline during which a refusal can still be written. */
    private static final long WRITE_GRACE_MS = 1_000;

    private static final HttpString REPLAYED = new HttpString("Idempotent-Replayed");

    private final HttpServerExchange exchange;
    private final MetricRegistry metrics;
    private final Cancellation cancellation;
    private boolean eventStream;
    private XnioExecutor.Key closeTimer;
    private RequestOutcomeRecorder recorder = new RequestOutcomeRecorder(() -> 0);

    /**
     * Creates an answer.
     *
     * @param cancellation cancelled when the caller closes its connection
     */
    CallerAnswer(HttpServerExchange exchange, MetricRegistry metrics, Cancellation cancellation) {
        this.exchange = exchange;
        this.metrics = metrics;
        this.cancellation = cancellation;
    }

    /** Returns the cancellation that is triggered when the caller disconnects. */
    Cancellation cancellation() {
        return cancellation;
    }

    /** Sets the recorder of this answer's status and timing. */
    void recordTo(RequestOutcomeRecorder newRecorder) {
        recorder = newRecorder;
    }

    /** Closes the connection shortly after the deadline, so that a caller that does not read cannot block the thread. */
    void closeConnectionAfter(long millis) {
        closeTimer = exchange.getIoThread()
                .executeAfter(
                        () -> CallerConnections.abortResponse(exchange),
                        Math.max(0, millis) + WRITE_GRACE_MS,
                        TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        if (closeTimer != null) {
            closeTimer.remove();
        }
    }

    /** Returns whether any byte of the answer may have reached the caller. */
    boolean started() {
        return exchange.isResponseStarted();
    }

    /** Sets status and headers, replacing those of an earlier attempt that sent nothing. */
    void begin(int status, List<HttpHeader> headers) {
        exchange.getResponseHeaders().clear();
        exchange.setStatusCode(status);
        recorder.recordStatus(status);
        headers.forEach(header -> exchange.getResponseHeaders().add(new HttpString(header.name()), header.value()));
        eventStream = EventStreams.isEventStream(headers);
        useChunkedEncoding();
    }

    /** Writes and flushes a piece of the body; returns whether the caller is still connected. */
    boolean write(byte[] piece) {
        if (cancellation.cancelled()) {
            return false;
        }
        try {
            exchange.getOutputStream().write(piece);
            exchange.getOutputStream().flush();
            recorder.recordPiece();
            return true;
        } catch (IOException e) {
            cancellation.cancel();
            return false;
        }
    }

    /** Answers a repeated request with the stored answer of the first one. */
    void replay(StoredAnswer stored) {
        exchange.setStatusCode(stored.status());
        recorder.recordStatus(stored.status());
        exchange.getResponseHeaders().put(REPLAYED, "true");
        if (!stored.contentType().isEmpty()) {
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, stored.contentType());
        }
        useChunkedEncoding();
        send(stored.body());
        countEnd(BodyEnd.COMPLETE);
    }

    /** Answers with a refusal, or marks the answer as incomplete if it has started. */
    void refuse(Refusal refusal) {
        metrics.counter("refused." + refusal.kind().label()).inc();
        recorder.recordRefusal(refusal.kind());
        if (!started()) {
            RefusalResponse.setHead(exchange, refusal);
            useChunkedEncoding();
            send(RefusalResponse.bodyJson(refusal));
            countEnd(BodyEnd.COMPLETE);
        } else if (eventStream) {
            send("event: error\ndata: " + RefusalResponse.bodyJson(refusal) + "\n\n");
            countEnd(BodyEnd.ABORTED);
        } else {
            countEnd(BodyEnd.ABORTED);
            CallerConnections.abortResponse(exchange);
        }
    }

    /** Counts how this answer ended; called once, when the answer is written or given up. */
    void countEnd(BodyEnd end) {
        metrics.counter(ResponseEndCounters.caller(CallerConnections.framing(exchange), end))
                .inc();
    }

    /** Chunked encoding marks the end of the body even where the connection closes after the answer. */
    private void useChunkedEncoding() {
        boolean bodyless = exchange.getRequestMethod().equals(Methods.HEAD)
                || exchange.getStatusCode() == StatusCodes.NO_CONTENT
                || exchange.getStatusCode() == StatusCodes.NOT_MODIFIED;
        if (exchange.isHttp11() && !bodyless) {
            exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, "chunked");
        }
    }

    private void send(String text) {
        if (!write(text.getBytes(StandardCharsets.UTF_8))) {
            CallerConnections.abortResponse(exchange);
        }
    }
}
