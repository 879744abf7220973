package org.cuminspur.router.internal.traffic;

import io.undertow.server.HttpServerExchange;
import io.vavr.control.Either;
import java.util.function.Consumer;
import org.cuminspur.errors.ErrorKind;
import org.cuminspur.errors.Refusal;
import org.cuminspur.traffic.RequestMetadata;

/**
 * Routes one request; an authenticated one waits until its key is confirmed to be still valid.
 *
 * <p>Used on the traffic thread, which it never blocks.
 */
final class RequestRouting {
    /** Share of a caller's timeout that it may wait for a start, so that it can still try another instance. */
    private static final double START_WAIT_SHARE = 0.6;

    private final TrafficContext context;
    private final HttpServerExchange exchange;
    private final RequestMetadata call;
    private final StreamContinuation continuation;
    private final long arrivedMillis;

    RequestRouting(
            TrafficContext context,
            HttpServerExchange exchange,
            RequestMetadata call,
            StreamContinuation continuation,
            long arrivedMillis) {
        this.context = context;
        this.exchange = exchange;
        this.call = call;
        this.continuation = continuation;
        this.arrivedMillis = arrivedMillis;
    }

    /** Passes on the request with its route or its refusal, at once or when enough is known. */
    void route(Consumer<Either<Refusal, RoutedCall>> result) {
        route(true, result);
    }

    private void route(boolean mayWait, Consumer<Either<Refusal, RoutedCall>> result) {
        Either<Refusal, RoutedCall> found =
                context.router().route(context.upstreams().view(), exchange, call, arrivedMillis);
        boolean current = context.confirmations().current();
        if (!current && (found.isLeft() || found.get().authenticated())) {
            if (mayWait) {
                context.confirmations().whenCurrent(confirmationWaitMillis(), confirmed -> route(false, result));
            } else {
                boolean started = context.upstreams().view().routes().isPresent();
                result.accept(Either.left(Refusal.of(started ? ErrorKind.VIEW_STALE : ErrorKind.NOT_READY)));
            }
        } else if (found.isLeft()) {
            result.accept(found);
        } else if (!context.stop().accepts(arrivedMillis, found.get().deadlineMillis())) {
            result.accept(Either.left(Refusal.of(ErrorKind.STOPPING)));
        } else {
            continuation.bind(found.get(), arrivedMillis, result);
        }
    }

    private long confirmationWaitMillis() {
        if (context.upstreams().view().routes().isPresent()) {
            return ConfirmationQueue.CONFIRM_WAIT_MS;
        }
        double startWaitMillis = START_WAIT_SHARE * call.callerTimeoutMillis().orElse(Long.MAX_VALUE);
        return (long) Math.min(ConfirmationQueue.START_WAIT_MS, startWaitMillis);
    }
}
