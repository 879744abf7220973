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
 * Receives one request's body, or refuses it when it is too large or does not arrive in time.
 *
 * <p>Used on the input-output thread of the connection only. The time runs over the whole body, so that a caller that
 * sends a byte now and then is refused too.
 */
public final class BodyReceiver {
    private final HttpServerExchange exchange;
    private final Runnable gone;
    private final Consumer<ErrorKind> refused;
    private final BiConsumer<HttpServerExchange, byte[]> received;
    private XnioExecutor.Key timer;
    private boolean ended;

    /**
     * Makes a receipt; one of the three is called once.
     *
     * @param gone runs if the connection broke
     * @param refused receives why the body is not taken
     * @param received receives the whole body
     */
    public BodyReceiver(
            HttpServerExchange exchange,
            Runnable gone,
            Consumer<ErrorKind> refused,
            BiConsumer<HttpServerExchange, byte[]> received) {
        this.exchange = exchange;
        this.gone = gone;
        this.refused = refused;
        this.received = received;
    }

    /** Starts to receive. */
    public void start(long timeoutMillis) {
        exchange.getRequestReceiver()
                .receiveFullBytes((same, body) -> end(() -> received.accept(same, body)), (same, e) -> failed(e));
        if (!ended) {
            Runnable tooSlow = () -> end(() -> refused.accept(ErrorKind.SENDER_TOO_SLOW));
            timer = exchange.getIoThread().executeAfter(tooSlow, timeoutMillis, TimeUnit.MILLISECONDS);
        }
    }

    private void failed(IOException cause) {
        end(() -> {
            if (cause instanceof RequestTooBigException) {
                refused.accept(ErrorKind.BODY_TOO_LARGE);
            } else {
                gone.run();
            }
        });
    }

    private void end(Runnable action) {
        if (!ended) {
            ended = true;
            if (timer != null) {
                timer.remove();
            }
            action.run();
        }
    }
}
