package org.cuminspur.http.client;

import io.undertow.UndertowOptions;
import io.undertow.client.ClientConnection;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.util.concurrent.CancellationException;
import java.util.concurrent.TimeUnit;
import org.cuminspur.http.internal.client.ClientExchangeStream;
import org.cuminspur.http.internal.client.ConnectionPool;
import org.cuminspur.time.Clock;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Calls other processes over HTTP/1.1.
 *
 * <p>Thread-safe. Calls block the calling thread; input and output run on the client's own threads. A connection on
 * which a call failed or timed out is reset and never reused, so a response always belongs to its request, and a request that
 * has not arrived by then never does.
 */
public final class HttpClient implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 * 1_024;

    private final XnioWorker worker;
    private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);
    private final ConnectionPool pool = new ConnectionPool();
    private final Clock clock;
    private final long connectTimeoutMillis;

    /**
     * Starts the client.
     *
     * @param ioThreads threads for input and output
     * @param connectTimeoutMillis maximum wait for a connection
     */
    public HttpClient(Clock clock, int ioThreads, long connectTimeoutMillis) {
        this.clock = clock;
        this.connectTimeoutMillis = connectTimeoutMillis;
        try {
            worker = Xnio.getInstance()
                    .createWorker(OptionMap.builder()
                            .set(Options.WORKER_IO_THREADS, ioThreads)
                            .set(Options.WORKER_NAME, "http-client")
                            .set(Options.THREAD_DAEMON, true)
                            .set(Options.TCP_NODELAY, true)
                            .getMap());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Sends a request and waits for the head of the response. */
    public Either<CallFault, HttpResponseStream> open(HttpCall call, long timeoutMillis) {
        return open(call, timeoutMillis, new Cancellation());
    }

    /** Sends a request and waits for the head of the response; a cancellation then or later closes the connection. */
    public Either<CallFault, HttpResponseStream> open(HttpCall call, long timeoutMillis, Cancellation cancellation) {
        long deadline = clock.millis() + timeoutMillis;
        ConnectionPool.Address address = new ConnectionPool.Address(call.host(), call.port());
        ClientConnection pooled = call.freshConnection() ? null : pool.acquire(address);
        if (pooled != null) {
            return exchange(pooled, call, deadline, cancellation);
        }
        return connect(call, Math.min(connectTimeoutMillis, timeoutMillis))
                .flatMap(connection -> exchange(connection, call, deadline, cancellation));
    }

    /** Sends a request and waits for the complete response. */
    public Either<CallFault, HttpResponse> call(HttpCall call, long timeoutMillis) {
        long deadline = clock.millis() + timeoutMillis;
        return open(call, timeoutMillis).flatMap(stream -> readFully(stream, deadline));
    }

    @Override
    public void close() {
        pool.close();
        worker.shutdownNow();
    }

    private Either<CallFault, HttpResponse> readFully(HttpResponseStream stream, long deadline) {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try (stream) {
            while (true) {
                Either<CallFault, byte[]> piece = stream.next(Math.max(1, deadline - clock.millis()));
                if (piece.isLeft()) {
                    return Either.left(piece.getLeft());
                }
                if (piece.get().length == 0) {
                    return Either.right(new HttpResponse(stream.status(), stream.headers(), body.toByteArray()));
                }
                body.writeBytes(piece.get());
            }
        }
    }

    private Either<CallFault, HttpResponseStream> exchange(
            ClientConnection connection, HttpCall call, long deadline, Cancellation cancellation) {
        ConnectionPool.Address address = new ConnectionPool.Address(call.host(), call.port());
        ClientExchangeStream stream = new ClientExchangeStream(connection, () -> pool.release(address, connection));
        cancellation.onCancel(stream::close);
        return stream.start(call, Math.max(1, deadline - clock.millis()));
    }

    private Either<CallFault, ClientConnection> connect(HttpCall call, long timeoutMillis) {
        URI uri = URI.create("http://" + call.host() + ":" + call.port());
        OptionMap options = OptionMap.create(UndertowOptions.ENABLE_HTTP2, false);
        IoFuture<ClientConnection> connecting = ClientConnections.connect(uri, worker.getIoThread(), buffers, options);
        if (connecting.await(timeoutMillis, TimeUnit.MILLISECONDS) == IoFuture.Status.WAITING) {
            connecting.cancel();
            return Either.left(CallFault.NOT_SENT);
        }
        try {
            return Either.right(connecting.get());
        } catch (IOException | CancellationException e) {
            return Either.left(CallFault.NOT_SENT);
        }
    }
}
