package org.cuminspur.router.internal.caller;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.cuminspur.errors.ErrorKind;
import org.xnio.XnioExecutor;

/**
 * Receives one request's body, or rejects it if it is too large or does not arrive in time.
 *
 * <p>Used only on the connection's I/O thread. The timeout covers the whole body, so a caller that sends one byte at
 * a time is rejected too.
 */
public final class BodyReceiver {
    private final HttpServerExchange exchange;
    private final Runnable onDisconnect;
    private final Consumer<ErrorKind> onRejected;
    private final BiConsumer<HttpServerExchange, byte[]> onReceived;
    private XnioExecutor.Key timer;
    private boolean finished;

    /**
     * Creates a receiver, which calls exactly one of the three callbacks, once.
     *
     * @param onDisconnect called if the connection breaks
     * @param onRejected called with the reason if the body is rejected
     * @param onReceived called with the complete body
     */
    public BodyReceiver(
            HttpServerExchange exchange,
            Runnable onDisconnect,
            Consumer<ErrorKind> onRejected,
            BiConsumer<HttpServerExchange, byte[]> onReceived) {
        this.exchange = exchange;
        this.onDisconnect = onDisconnect;
        this.onRejected = onRejected;
        this.onReceived = onReceived;
    }

    /** Starts receiving; the whole body must arrive within the timeout. */
    public void start(long timeoutMillis) {
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (sender, body) -> finish(() -> onReceived.accept(sender, body)), (sender, e) -> onFailure(e));
        if (!finished) {
            Runnable onTimeout = () -> finish(() -> onRejected.accept(ErrorKind.SENDER_TOO_SLOW));
            timer = exchange.getIoThread().executeAfter(onTimeout, timeoutMillis, TimeUnit.MILLISECONDS);
        }
    }

    private void onFailure(IOException cause) {
        finish(() -> {
            if (cause instanceof RequestTooBigException) {
                onRejected.accept(ErrorKind.BODY_TOO_LARGE);
            } else {
                onDisconnect.run();
            }
        });
    }

    private void finish(Runnable action) {
        if (!finished) {
            finished = true;
            if (timer != null) {
                timer.remove();
            }
            action.run();
        }
    }
}
