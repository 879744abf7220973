package org.cuminspur.router.internal.caller;

import com.codahale.metrics.MetricRegistry;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.handlers.GracefulShutdownHandler;
import java.net.InetSocketAddress;
import org.cuminspur.router.RouterSettings;
import org.xnio.Options;

/** The server that callers speak to; thread-safe. */
public final class CallerServer {
    private static final int IO_THREADS = 2;

    private final Undertow server;
    private final GracefulShutdownHandler inProgress;
    private final long stopTimeoutMillis;

    public CallerServer(RouterSettings settings, RequestPipeline pipeline, MetricRegistry metrics) {
        RouterSettings.Callers callers = settings.callers();
        stopTimeoutMillis = callers.stopTimeoutMillis();
        inProgress = new GracefulShutdownHandler(new CallerHandler(pipeline, metrics));
        server = Undertow.builder()
                .addHttpListener(callers.port(), settings.host())
                .setIoThreads(IO_THREADS)
                .setWorkerThreads(callers.threads())
                .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, callers.maxBodyBytes())
                .setServerOption(UndertowOptions.MAX_HEADER_SIZE, callers.maxHeaderBytes())
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, (int) callers.bodyTimeoutMillis())
                .setSocketOption(Options.READ_TIMEOUT, (int) callers.bodyTimeoutMillis())
                .setHandler(inProgress)
                .build();
    }

    /** Starts to listen. */
    public void start() {
        server.start();
    }

    /** Returns the port that callers connect to. */
    public int port() {
        return ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
    }

    /** Refuses new requests, waits for those in progress, then closes. */
    public void stop() {
        inProgress.shutdown();
        try {
            inProgress.awaitShutdown(stopTimeoutMillis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        server.stop();
    }
}
