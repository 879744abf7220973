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
import org.cuminspur.http.client.CallFault;
import org.cuminspur.http.client.ClientConnections;
import org.cuminspur.http.client.HttpCall;
import org.cuminspur.http.client.HttpHeader;
import org.cuminspur.http.client.HttpResponseStream;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/**
 * One exchange on one connection.
 *
 * <p>The connection is touched on its own input-output thread only; the caller's thread waits for what that thread
 * hands over.
 */
public final class ClientExchangeStream implements HttpResponseStream {
    private static final Set<Integer> WITHOUT_BODY = Set.of(StatusCodes.NO_CONTENT, StatusCodes.NOT_MODIFIED);

    private final ClientConnection connection;
    private final Runnable giveBack;
    private final BodyQueue body;
    private final CompletableFuture<ClientResponse> response = new CompletableFuture<>();

    /** The three below are used on the input-output thread only. */
    private boolean head;

    private boolean requestWritten;
    private boolean released;

    public ClientExchangeStream(ClientConnection connection, Runnable giveBack) {
        this.connection = connection;
        this.giveBack = giveBack;
        this.body = new BodyQueue(connection, this::bodyCompleted);
    }

    /** Sends the request and waits until its answer begins. */
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
            // The client was closed, and its connections with it.
            IoUtils.safeClose(connection);
        }
    }

    /** Decides on the input-output thread, since the connection may have gone back and serve another call by now. */
    private void closeUnlessReleased() {
        if (!released && connection.isOpen()) {
            ClientConnections.abort(connection);
        }
    }

    /** Gives the connection back, unless the answer came before the request was sent in whole. */
    private void bodyCompleted() {
        if (requestWritten && !released) {
            released = true;
            giveBack.run();
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
        head = call.method().equals("HEAD");
        ClientRequest request = new ClientRequest()
                .setMethod(HttpString.tryFromString(call.method()))
                .setPath(call.path());
        request.getRequestHeaders().put(Headers.HOST, call.host() + ":" + call.port());
        call.headers()
                .forEach(header ->
                        request.getRequestHeaders().add(HttpString.tryFromString(header.name()), header.value()));
        request.getRequestHeaders().put(Headers.CONTENT_LENGTH, call.body().length);
        connection.getCloseSetter().set(closed -> failSoon());
        connection.sendRequest(
                request, ClientConnections.callback(exchange -> sendBody(exchange, call.body()), this::fail));
    }

    /** Lets a read that is under way see the end of the body first, since its end may be what closes the connection. */
    private void failSoon() {
        IOException cause = new IOException("the connection was closed");
        try {
            connection.getIoThread().execute(() -> fail(cause));
        } catch (RejectedExecutionException e) {
            fail(cause);
        }
    }

    private void sendBody(ClientExchange exchange, byte[] bytes) {
        exchange.setResponseListener(ClientConnections.callback(this::answered, this::fail));
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

    private void answered(ClientExchange exchange) {
        ClientResponse answer = exchange.getResponse();
        response.complete(answer);
        if (WITHOUT_BODY.contains(answer.getResponseCode())) {
            // A length in such an answer is not that of a body, so the connection's state cannot be trusted.
            body.endEmpty();
            closeUnlessReleased();
        } else {
            body.start(exchange.getResponseChannel(), endIsMarked(answer));
        }
    }

    private boolean endIsMarked(ClientResponse answer) {
        return head
                || answer.getResponseHeaders().contains(Headers.CONTENT_LENGTH)
                || answer.getResponseHeaders().contains(Headers.TRANSFER_ENCODING);
    }

    private void fail(IOException cause) {
        response.completeExceptionally(cause);
        body.fail();
        closeUnlessReleased();
    }
}
