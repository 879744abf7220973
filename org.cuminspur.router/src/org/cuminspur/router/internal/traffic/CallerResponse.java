package org.cuminspur.router.internal.traffic;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import org.cuminspur.errors.ErrorKind;
import org.cuminspur.http.client.BodyEnd;
import org.cuminspur.http.client.BodyFraming;

/**
 * The response to one request, from one upstream or several in a row.
 *
 * <p>Used on the I/O thread. Its head is sent once. A connection that should go to another instance is closed after it.
 */
final class CallerResponse {
    private final TrafficContext context;
    private final HttpServerExchange exchange;
    private final ResponseWriter writer;
    private final BodyRelay relay = new BodyRelay();
    private int status;

    CallerResponse(TrafficContext context, HttpServerExchange exchange, ResponseWriter.Listener listener) {
        this.context = context;
        this.exchange = exchange;
        this.writer = new ResponseWriter(context, exchange, listener);
    }

    /** Returns whether its head was sent. */
    boolean begun() {
        return relay.begun();
    }

    /** Returns its status, 0 before it has one. */
    int status() {
        return status;
    }

    /** Returns whether it is a stream that another upstream may resume. */
    boolean resumable() {
        return relay.resumable();
    }

    /** Returns the id of the event after which the stream can be resumed, if there is one. */
    OptionalLong resumePoint() {
        return relay.resumePoint();
    }

    /** Returns whether the bytes received so far end inside an event of a stream. */
    boolean insideEvent() {
        return relay.insideEvent();
    }

    /** Returns whether the resumed stream has a gap, so that it cannot be passed on. */
    boolean hasGap() {
        return relay.hasGap();
    }

    /** Returns whether a response whose body ends in this way is complete. */
    boolean isComplete(BodyEnd end) {
        return relay.isComplete(end);
    }

    /** Begins the response. */
    void begin(int responseStatus, HeaderMap headers, boolean eventStream, boolean isResumable) {
        status = responseStatus;
        relay.begin(eventStream, isResumable);
        closeIfUnready(headers);
        writer.begin(responseStatus, headers);
    }

    /** Returns whether it has not begun, or is a stream that a response with this head may continue. */
    boolean mayContinueWith(int nextStatus, boolean nextIsEventStream) {
        return !begun() || (nextStatus == status && nextIsEventStream);
    }

    /** Expects the next bytes to continue the stream after the last event passed on. */
    void resumed() {
        relay.resumed();
    }

    /** Returns the part of received bytes that is to be written. */
    ByteBuffer take(ByteBuffer bytes) {
        return relay.take(bytes);
    }

    void write(ByteBuffer bytes) {
        writer.write(bytes);
    }

    /** Writes what is left after the last complete event. */
    void writeRemainder() {
        writer.write(relay.remainder());
    }

    /** Ends the response as complete. */
    void end() {
        writer.end();
    }

    /** Ends the response as incomplete. */
    void abort() {
        writer.abort();
    }

    /** Sets the head of a refusal, whose body is sent by {@link #sendRefusal}. */
    void prepareRefusal(ErrorKind kind, HeaderMap headers) {
        headers.put(Headers.CONTENT_TYPE, "text/plain");
        closeIfUnready(headers);
        status = context.headerCodec().status(kind);
    }

    void sendRefusal(ErrorKind kind, HeaderMap headers) {
        writer.send(status, headers, kind.message().getBytes(StandardCharsets.US_ASCII));
    }

    /** Returns the framing of the body, as the caller sees it; none before the response has begun. */
    BodyFraming framing() {
        return relay.begun() ? writer.framing() : BodyFraming.NONE;
    }

    /** Closes the connection after this response, so that the next one is balanced to a ready instance. */
    private void closeIfUnready(HeaderMap headers) {
        if (context.stop().stopping() || context.confirmations().nearlyStale()) {
            exchange.setPersistent(false);
            headers.put(Headers.CONNECTION, "close");
        }
    }
}
