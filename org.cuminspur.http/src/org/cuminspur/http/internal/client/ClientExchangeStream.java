package org.cuminspur.http.internal.client;

import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.StatusCodes;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.stream.StreamSupport;
import org.cuminspur.http.client.BodyFraming;
import org.cuminspur.http.client.CallFault;
import org.cuminspur.http.client.ClientConnections;
import org.cuminspur.http.client.HttpCall;
import org.cuminspur.http.client.HttpHeader;
import org.cuminspur.http.client.HttpResponseStream;
import org.cuminspur.http.client.InvalidResponseException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/**
 * One request and response on one connection.
 *
 * <p>The connection is used on its own I/O thread only; the caller's thread waits for what that thread passes on.
 */
public final class ClientExchangeStream implements HttpResponseStream {
    private static final Set<Integer> WITHOUT_BODY = Set.of(StatusCodes.NO_CONTENT, StatusCodes.NOT_MODIFIED);

    private static final Logger log = LoggerFactory.getLogger(ClientExchangeStream.class);

    private final ClientConnection connection;
    private final Runnable returnToPool;
    private final BodyQueue body;
    private final CompletableFuture<ClientResponse> response = new CompletableFuture<>();

    /** Written before the response is completed. */
    private BodyFraming framing = BodyFraming.NONE;

    /** The four fields below are used on the I/O thread only. */
    private HttpString method;

    /** Method, address and path without its query, for the log. */
    private String call = "";

    private boolean requestWritten;
    private boolean released;

    public ClientExchangeStream(ClientConnection connection, Runnable returnToPool) {
        this.connection = connection;
        this.returnToPool = returnToPool;
        this.body = new BodyQueue(connection, this::bodyCompleted, this::fail);
    }

    /** Sends the request and waits for the head of the response. */
    public Either<CallFault, HttpResponseStream> start(HttpCall call, long timeoutMillis) {
        connection.getIoThread().execute(() -> trySend(call));
        try {
            response.get(timeoutMillis, TimeUnit.MILLISECONDS);
            return Either.right(this);
        } catch (TimeoutException e) {
            close();
            return Either.left(CallFault.TIMED_OUT);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            close();
            return Either.left(CallFault.BROKEN);
        } catch (ExecutionException e) {
            close();
            return Either.left(CallFault.BROKEN);
        }
    }

    @Override
    public int status() {
        return response.join().getResponseCode();
    }

    @Override
    public BodyFraming framing() {
        response.join();
        return framing;
    }

    @Override
    public List<HttpHeader> headers() {
        return StreamSupport.stream(response.join().getResponseHeaders().spliterator(), false)
                .flatMap(values -> values.stream()
                        .map(value -> new HttpHeader(values.getHeaderName().toString(), value)))
                .toList();
    }

    @Override
    public Either<CallFault, byte[]> next(long timeoutMillis) {
        Either<CallFault, byte[]> piece = body.next(timeoutMillis);
        if (piece.isLeft()) {
            close();
        }
        return piece;
    }

    @Override
    public void close() {
        try {
            connection.getIoThread().execute(this::closeUnlessReleased);
        } catch (RejectedExecutionException e) {
            // The client was closed, which also ends its connections.
            IoUtils.safeClose(connection);
        }
    }

    /** Runs on the I/O thread, since the connection may already be back in the pool and serve another call. */
    private void closeUnlessReleased() {
        if (!released && connection.isOpen()) {
            ClientConnections.reset(connection);
        }
    }

    /** Returns the connection to the pool, unless the response ended before the request was sent completely. */
    private void bodyCompleted() {
        if (requestWritten && !released) {
            released = true;
            returnToPool.run();
        } else {
            closeUnlessReleased();
        }
    }

    private void trySend(HttpCall call) {
        try {
            send(call);
        } catch (RuntimeException e) {
            fail(new IOException(e));
        }
    }

    private void send(HttpCall call) {
        method = HttpString.tryFromString(call.method());
        this.call = call.method() + " " + call.host() + ":" + call.port()
                + call.path().split("\\?", 2)[0];
        ClientRequest request = new ClientRequest().setMethod(method).setPath(call.path());
        request.getRequestHeaders().put(Headers.HOST, call.host() + ":" + call.port());
        call.headers()
                .forEach(header ->
                        request.getRequestHeaders().add(HttpString.tryFromString(header.name()), header.value()));
        request.getRequestHeaders().put(Headers.CONTENT_LENGTH, call.body().length);
        connection.getCloseSetter().set(closed -> failOnIoThread());
        ClientConnections.expectResponse(connection, request);
        connection.sendRequest(
                request, ClientConnections.callback(exchange -> sendBody(exchange, call.body()), this::fail));
    }

    /** Fails after any read in progress, since the end of the body may be what closes the connection. */
    private void failOnIoThread() {
        IOException cause = new IOException("the connection was closed");
        try {
            connection.getIoThread().execute(() -> fail(cause));
        } catch (RejectedExecutionException e) {
            fail(cause);
        }
    }

    private void sendBody(ClientExchange exchange, byte[] bytes) {
        exchange.setResponseListener(ClientConnections.callback(this::onResponse, this::fail));
        StreamSinkChannel channel = exchange.getRequestChannel();
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        channel.getWriteSetter().set(writable -> write(writable, buffer));
        write(channel, buffer);
    }

    private void write(StreamSinkChannel channel, ByteBuffer buffer) {
        try {
            requestWritten |= ClientConnections.writeBody(channel, buffer);
        } catch (IOException e) {
            fail(e);
        }
    }

    private void onResponse(ClientExchange exchange) {
        ClientConnections.progressed(connection);
        ClientResponse answer = exchange.getResponse();
        framing = BodyFraming.of(method, answer.getResponseCode(), answer.getResponseHeaders());
        response.complete(answer);
        if (WITHOUT_BODY.contains(answer.getResponseCode())) {
            // A length in such a response is not that of a body, so the connection's state cannot be trusted.
            body.endEmpty();
            ClientConnections.closeInOrder(connection);
        } else {
            body.start(exchange.getResponseChannel(), framing != BodyFraming.CONNECTION_END);
        }
    }

    private void fail(IOException cause) {
        if (cause instanceof InvalidResponseException) {
            log.warn("event=invalid-response call=\"{}\" cause=\"{}\"", call, cause.getMessage());
        }
        response.completeExceptionally(cause);
        body.fail();
        closeUnlessReleased();
    }
}
