package org.cuminspur.router.internal.caller;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.cuminspur.errors.ErrorKind;
import org.cuminspur.traffic.BodyBudget;
import org.xnio.XnioExecutor;

/**
 * Receives one request's body, or rejects it if it is too large or does not arrive in time.
 *
 * <p>Used only on the connection's I/O thread. The timeout covers the whole body, so a caller that sends one byte at
 * a time is rejected too.
 */
public final class BodyReceiver {
    private final HttpServerExchange exchange;
    private final BodyBudget budget;
    private final Runnable onDisconnect;
    private final Consumer<ErrorKind> onRejected;
    private final BiConsumer<HttpServerExchange, byte[]> onReceived;
    private XnioExecutor.Key timer;
    private boolean finished;
    private long reservedBytes;

    /**
     * Creates a receiver, which calls exactly one of the three callbacks, once.
     *
     * @param budget has the body's bytes until the exchange is complete
     * @param onDisconnect called if the connection breaks
     * @param onRejected called with the reason if the body is rejected
     * @param onReceived called with the complete body
     */
    public BodyReceiver(
            HttpServerExchange exchange,
            BodyBudget budget,
            Runnable onDisconnect,
            Consumer<ErrorKind> onRejected,
            BiConsumer<HttpServerExchange, byte[]> onReceived) {
        this.exchange = exchange;
        this.budget = budget;
        this.onDisconnect = onDisconnect;
        this.onRejected = onRejected;
        this.onReceived = onReceived;
    }

    /** Starts receiving; the whole body must arrive within the timeout. */
    public void start(long timeoutMillis) {
        exchange.addExchangeCompleteListener((completed, next) -> {
            budget.release(reservedBytes);
            reservedBytes = 0;
            next.proceed();
        });
        long declared = exchange.getRequestContentLength();
        if (declared >= 0) {
            receiveDeclared(declared);
        } else {
            receivePieces();
        }
        if (!finished) {
            Runnable onTimeout = () -> finish(() -> onRejected.accept(ErrorKind.SENDER_TOO_SLOW));
            timer = exchange.getIoThread().executeAfter(onTimeout, timeoutMillis, TimeUnit.MILLISECONDS);
        }
    }

    private void receiveDeclared(long bytes) {
        // One that is larger than allowed is rejected by the exchange, and never held.
        boolean allowed = exchange.getMaxEntitySize() <= 0 || bytes <= exchange.getMaxEntitySize();
        if (allowed && !tryReserve(bytes)) {
            finish(() -> onRejected.accept(ErrorKind.OVERLOADED));
            return;
        }
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (sender, body) -> finish(() -> onReceived.accept(sender, body)), (sender, e) -> onFailure(e));
    }

    /** Receives a body of unknown length, whose bytes are reserved as they come. */
    private void receivePieces() {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        exchange.getRequestReceiver()
                .receivePartialBytes(
                        (sender, piece, last) -> {
                            if (finished) {
                                return;
                            } else if (!tryReserve(piece.length)) {
                                finish(() -> onRejected.accept(ErrorKind.OVERLOADED));
                                return;
                            }
                            body.writeBytes(piece);
                            if (last) {
                                finish(() -> onReceived.accept(sender, body.toByteArray()));
                            }
                        },
                        (sender, e) -> onFailure(e));
    }

    private boolean tryReserve(long bytes) {
        boolean reserved = budget.tryReserve(bytes, reservedBytes + bytes);
        reservedBytes += reserved ? bytes : 0;
        return reserved;
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
