package org.cuminspur.router.internal.traffic;

import com.codahale.metrics.MetricRegistry;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.cuminspur.event.EventSink;
import org.cuminspur.internal.hash.Rendezvous;
import org.cuminspur.router.HeaderCodec;
import org.cuminspur.router.TrafficSettings;
import org.cuminspur.router.internal.operator.PrometheusText;
import org.cuminspur.time.Clock;
import org.cuminspur.traffic.FleetView;
import org.cuminspur.traffic.PromptPlacement;
import org.cuminspur.traffic.RetryAfterPolicy;
import org.cuminspur.traffic.UpstreamPool;
import org.cuminspur.traffic.ViewFreshness;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * The servers that callers, the balancer and the metrics' reader speak to, on one traffic thread.
 *
 * <p>Thread-safe. Views published from any thread come into force on the traffic thread.
 */
public final class TrafficServer {
    private static final int BUFFER_BYTES = 16 * 1_024;

    /** Time between looks at what waits, or at connections that are to be closed as they fall idle. */
    private static final long TICK_MS = 20;

    /** Time between looks at idle connections, which are given up a second early. */
    private static final long SWEEP_MS = 250;

    private static final int PARSED_HEAD_BYTES = 64 * 1_024;

    /** Longest time for a request's head. */
    private static final int HEAD_TIMEOUT_MS = 5_000;

    /** Idle time after which a caller's connection is closed; callers reuse theirs for less. */
    private static final int IDLE_TIMEOUT_MS = 60_000;

    /** Time that the balancer needs to notice an instance that is not ready: two questions, one a second. */
    private static final long UNREADY_MS = 2_600;

    /** Time without a request before the end; a request crosses the closing of its connection within some round trips. */
    private static final long QUIET_MS = 400;

    /** Part of the grace time that is left for the process to end. */
    private static final long LEAVE_MS = 500;

    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final XnioWorker worker;
    private final XnioIoThread thread;
    private final Undertow server;
    private final TrafficContext traffic;

    /**
     * Prepares the servers.
     *
     * @param confirmSoon asks for a confirmation of the view; may be called on any thread
     * @param storeAway tells that none is to be expected; may be called on any thread
     */
    public TrafficServer(
            TrafficSettings settings,
            HeaderCodec headerCodec,
            Clock clock,
            ViewFreshness freshness,
            Runnable confirmSoon,
            BooleanSupplier storeAway,
            EventSink events,
            MetricRegistry metrics) {
        worker = worker();
        thread = worker.getIoThread();
        ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);
        UpstreamConnections connections = new UpstreamConnections(thread, buffers, clock);
        SplittableRandom random =
                new SplittableRandom(Rendezvous.hash(settings.id().value()) ^ clock.millis());
        traffic = new TrafficContext(
                clock,
                settings.bounds(),
                freshness,
                new UpstreamPool(settings.id(), settings.bounds(), connections::forget),
                new PromptPlacement(settings.domain(), settings.bounds().loadFactor(), random::nextDouble),
                new CallRouter(random::nextDouble),
                connections,
                headerCodec,
                events,
                metrics,
                ByteBuffer.allocateDirect(BUFFER_BYTES),
                Map.of(),
                new ConfirmationQueue(
                        freshness,
                        clock,
                        settings.bounds().maxRevocationDelayMillis(),
                        confirmSoon,
                        storeAway,
                        this::flushSoon),
                new CallerConnections(),
                new RetryAfterPolicy(random::nextDouble),
                new StopState());
        server = Undertow.builder()
                .setWorker(worker)
                .setByteBufferPool(buffers)
                .addHttpListener(settings.callers().port(), settings.callers().host(), new TrafficHandler(traffic))
                .addHttpListener(
                        settings.readiness().port(), settings.readiness().host(), this::readiness)
                .addHttpListener(settings.metricsPort(), settings.callers().host(), this::metrics)
                .setServerOption(UndertowOptions.MAX_HEADER_SIZE, PARSED_HEAD_BYTES)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, HEAD_TIMEOUT_MS)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MS)
                .setServerOption(UndertowOptions.ENABLE_HTTP2, false)
                .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
                .build();
    }

    /** Starts to listen. */
    public void start() {
        server.start();
        thread.execute(this::sweep);
    }

    /** Brings a newer view into force. */
    public void publish(FleetView view) {
        thread.execute(() -> traffic.board().update(view, traffic.clock().millis()));
    }

    /** Stops as planned; blocks until all requests have ended or time is up, and returns how many were cut. */
    public int stop() {
        long began = System.nanoTime();
        long grace = traffic.bounds().shutdownGraceMillis() - LEAVE_MS;
        long now = traffic.clock().millis();
        traffic.stop().stop(now + UNREADY_MS, now + grace);
        try {
            TimeUnit.MILLISECONDS.sleep(UNREADY_MS);
            thread.execute(this::closeIdle);
            return traffic.stop().awaitQuiet(began + TimeUnit.MILLISECONDS.toNanos(grace), QUIET_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 0;
        }
    }

    /** Closes all connections and stops the threads. */
    public void close() {
        server.stop();
        worker.shutdownNow();
    }

    /** Closes connections of callers as they fall idle; a caller finds another instance for its next request. */
    private void closeIdle() {
        traffic.callers().closeIdle();
        thread.executeAfter(this::closeIdle, TICK_MS, TimeUnit.MILLISECONDS);
    }

    private void flushSoon() {
        thread.executeAfter(() -> traffic.confirmations().flush(), TICK_MS, TimeUnit.MILLISECONDS);
    }

    private void sweep() {
        traffic.connections().sweep();
        thread.executeAfter(this::sweep, SWEEP_MS, TimeUnit.MILLISECONDS);
    }

    private void readiness(HttpServerExchange exchange) {
        boolean ready = !traffic.stop().stopping()
                && traffic.board().view().routes().isPresent()
                && !traffic.confirmations().doubtful();
        exchange.setStatusCode(ready ? OK : UNAVAILABLE);
    }

    private void metrics(HttpServerExchange exchange) {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain; version=0.0.4");
        exchange.getResponseSender().send(PrometheusText.format(traffic.metrics()));
    }

    private static XnioWorker worker() {
        try {
            return Xnio.getInstance()
                    .createWorker(OptionMap.builder()
                            .set(Options.WORKER_IO_THREADS, 1)
                            .set(Options.WORKER_TASK_CORE_THREADS, 1)
                            .set(Options.WORKER_TASK_MAX_THREADS, 1)
                            .set(Options.WORKER_NAME, "traffic")
                            .set(Options.THREAD_DAEMON, true)
                            .set(Options.TCP_NODELAY, true)
                            .getMap());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
