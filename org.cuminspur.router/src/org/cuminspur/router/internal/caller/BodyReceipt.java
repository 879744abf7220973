package org.cuminspur.router.internal.caller;

import com.codahale.metrics.MetricRegistry;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.cuminspur.errors.ErrorKind;
import org.cuminspur.errors.Refusal;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;

/**
 * Receives one request's body, or refuses it when it is too large or does not arrive in time.
 *
 * <p>Used on the input-output thread of the connection only. The time runs over the whole body, so that a caller that
 * sends a byte now and then is refused too.
 */
final class BodyReceipt {
    private final HttpServerExchange exchange;
    private final MetricRegistry metrics;
    private final BiConsumer<HttpServerExchange, byte[]> received;
    private XnioExecutor.Key timer;
    private boolean ended;

    BodyReceipt(HttpServerExchange exchange, MetricRegistry metrics, BiConsumer<HttpServerExchange, byte[]> received) {
        this.exchange = exchange;
        this.metrics = metrics;
        this.received = received;
    }

    /** Starts to receive. */
    void start(long timeoutMillis) {
        exchange.getRequestReceiver()
                .receiveFullBytes((same, body) -> end(() -> received.accept(same, body)), (same, e) -> failed(e));
        if (!ended) {
            Runnable tooSlow = () -> end(() -> refuse(ErrorKind.SENDER_TOO_SLOW));
            timer = exchange.getIoThread().executeAfter(tooSlow, timeoutMillis, TimeUnit.MILLISECONDS);
        }
    }

    private void failed(IOException cause) {
        end(() -> {
            if (cause instanceof RequestTooBigException) {
                refuse(ErrorKind.BODY_TOO_LARGE);
            } else {
                metrics.counter("callers.gone").inc();
                IoUtils.safeClose(exchange.getConnection());
                exchange.endExchange();
            }
        });
    }

    private void refuse(ErrorKind kind) {
        EarlyRefusal.send(exchange, Refusal.of(kind), metrics);
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
