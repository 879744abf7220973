package org.cuminspur.router.internal.caller;

import com.codahale.metrics.MetricRegistry;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import java.net.InetSocketAddress;
import org.cuminspur.router.RouterSettings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The HTTP server for callers.
 *
 * <p>Thread-safe. {@link #drain}, {@link #rejectNewRequests} and {@link #stop} are the steps of a planned stop, in this order.
 */
public final class CallerServer {
    private static final Logger log = LoggerFactory.getLogger("org.cuminspur.state");
    private static final int IO_THREADS = 2;

    /** Request heads up to this multiple of the limit are answered with a refusal; beyond it the connection is closed. */
    private static final int PARSED_HEAD_FACTOR = 2;

    private final Undertow server;
    private final InFlightRequests inFlight = new InFlightRequests();
    private final long stopTimeoutMillis;

    public CallerServer(RouterSettings settings, RequestPipeline pipeline, MetricRegistry metrics) {
        RouterSettings.Callers callers = settings.callers();
        stopTimeoutMillis = callers.stopTimeoutMillis();
        HeadLimits limits = new HeadLimits(callers.maxHeaderBytes());
        server = Undertow.builder()
                .addHttpListener(callers.port(), settings.host())
                .setIoThreads(IO_THREADS)
                .setWorkerThreads(callers.threads())
                .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, callers.maxBodyBytes())
                .setServerOption(UndertowOptions.MAX_HEADER_SIZE, PARSED_HEAD_FACTOR * callers.maxHeaderBytes())
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, (int) callers.bodyTimeoutMillis())
                .setHandler(new CallerHandler(pipeline, metrics, inFlight, limits, callers.bodyTimeoutMillis()))
                .build();
    }

    public void start() {
        server.start();
    }

    public int port() {
        return ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
    }

    /** Keeps serving, but closes each connection after its next answer. */
    public void drain() {
        inFlight.drain();
    }

    public void rejectNewRequests() {
        inFlight.rejectNew();
    }

    /** Waits for the requests in progress, at most for the stop timeout, then closes the server. */
    public void stop() {
        try {
            if (!inFlight.awaitNone(stopTimeoutMillis)) {
                log.warn("event=stop-timeout the requests still in progress are cut");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        server.stop();
    }
}
