package org.cuminspur.router.internal.traffic;

import com.codahale.metrics.MetricRegistry;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.cuminspur.event.EventSink;
import org.cuminspur.event.FaultBarrier;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.ServiceId;
import org.cuminspur.internal.hash.Rendezvous;
import org.cuminspur.memory.ResponseBudget;
import org.cuminspur.ratelimit.PermitPlacement;
import org.cuminspur.ratelimit.RateLimits;
import org.cuminspur.rollout.RolloutAssessment;
import org.cuminspur.rollout.RolloutTraffic;
import org.cuminspur.router.HeaderCodec;
import org.cuminspur.router.TrafficSettings;
import org.cuminspur.router.internal.operator.PrometheusText;
import org.cuminspur.time.Clock;
import org.cuminspur.traffic.FleetView;
import org.cuminspur.traffic.NetworkAddress;
import org.cuminspur.traffic.PromptCacheHints;
import org.cuminspur.traffic.PromptPlacement;
import org.cuminspur.traffic.RetryAfterPolicy;
import org.cuminspur.traffic.StreamMemory;
import org.cuminspur.traffic.StreamOrigins;
import org.cuminspur.traffic.UpstreamEntry;
import org.cuminspur.traffic.UpstreamPool;
import org.cuminspur.traffic.ViewFreshness;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * HTTP servers for callers, the load balancer and metrics, on one traffic thread.
 *
 * <p>Thread-safe. Views can be published on any thread and take effect on the traffic thread.
 */
public final class TrafficServer implements StreamMemory, RolloutTraffic {
    private static final int BUFFER_BYTES = 16 * 1_024;

    /** Interval between checks of waiting requests. */
    private static final long TICK_MS = 20;

    /** Interval between checks of idle connections to upstreams, which are closed a second early. */
    private static final long SWEEP_INTERVAL_MS = 250;

    private static final int MAX_PARSED_HEAD_BYTES = 64 * 1_024;

    /** Longest time to receive a request's head. */
    private static final int HEAD_TIMEOUT_MS = 5_000;

    /** Idle time after which a caller's connection is closed; callers reuse theirs for less. */
    private static final int IDLE_TIMEOUT_MS = 60_000;

    private static final String EXPLAIN_PATH = "/explain";
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final XnioWorker worker;
    private final XnioIoThread thread;
    private final Undertow server;
    private final PeerChannel peers;
    private final TrafficContext context;
    private final TrafficSettings settings;
    private final FaultBarrier barrier;

    /**
     * Creates the servers without starting them.
     *
     * @param clock never goes back
     * @param requestConfirmation requests a confirmation of the view; can be called on any thread
     * @param storeUnavailable returns whether no confirmation is to be expected; can be called on any thread
     */
    public TrafficServer(
            TrafficSettings settings,
            HeaderCodec headerCodec,
            Clock clock,
            ViewFreshness freshness,
            Runnable requestConfirmation,
            BooleanSupplier storeUnavailable,
            EventSink events,
            MetricRegistry metrics) {
        this.settings = settings;
        barrier = new FaultBarrier(events, "traffic-failed");
        worker = createWorker();
        thread = worker.getIoThread();
        ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);
        peers = new PeerChannel(events, metrics);
        ConfirmationQueue confirmations = new ConfirmationQueue(
                freshness,
                clock,
                settings.bounds().maxRevocationDelayMillis(),
                requestConfirmation,
                storeUnavailable,
                this::scheduleFlush);
        RolloutMessages.Context rollouts = new RolloutMessages.Context(
                settings.id(),
                clock,
                this::runAfter,
                settings.rollouts(),
                () -> !confirmations.nearlyStale(),
                requestConfirmation,
                events,
                metrics);
        context = createContext(headerCodec, clock, freshness, confirmations, rollouts, buffers, events, metrics);
        metrics.gauge("responses.held-bytes", () -> context.responses().budget()::heldBytes);
        server = buildServer(buffers);
    }

    private TrafficContext createContext(
            HeaderCodec headerCodec,
            Clock clock,
            ViewFreshness freshness,
            ConfirmationQueue confirmations,
            RolloutMessages.Context rollouts,
            ByteBufferPool buffers,
            EventSink events,
            MetricRegistry metrics) {
        UnansweredRequests unanswered = new UnansweredRequests();
        PathGuard paths =
                new PathGuard(settings, clock, this::runAfter, peers, unanswered, events, metrics, this::probe);
        UpstreamConnectionPool connections = new UpstreamConnectionPool(thread, buffers, clock, paths);
        SplittableRandom random =
                new SplittableRandom(Rendezvous.hash(settings.id().value()) ^ clock.millis());
        UpstreamPool upstreams = new UpstreamPool(settings.id(), settings.bounds(), connections::closeAll);
        PromptPlacement placement =
                new PromptPlacement(settings.domain(), settings.bounds().loadFactor(), random::nextDouble);
        RateLimits rateLimits = RateLimitMessages.connect(settings.id(), clock, this::runAfter, peers);
        CrashGuard crashGuard = new CrashGuard(
                settings.id(), clock, this::runAfter, connections, peers, unanswered, paths.monitor(), events, metrics);
        return new TrafficContext(
                clock,
                settings.bounds(),
                freshness,
                upstreams,
                placement,
                new PromptCacheHints(),
                new LoadNotices(clock, upstreams, placement, events, peers),
                BalanceMessages.connect(settings, clock, this::runAfter, random::nextDouble, peers, events, metrics),
                StreamOriginMessages.connect(settings.id(), clock, this::runAfter, peers),
                crashGuard,
                rateLimits,
                new PermitPlacement(placement, rateLimits, clock),
                paths,
                RolloutMessages.connect(rollouts, upstreams, peers),
                unanswered,
                new CallRouter(random::nextDouble),
                connections,
                headerCodec,
                events,
                metrics,
                new ResponseMemory(BUFFER_BYTES, ResponseBudget.ofHeap()),
                Map.of(),
                confirmations,
                new CallerConnectionTracker(),
                new RetryAfterPolicy(random::nextDouble),
                new StopState());
    }

    /** Starts listening. */
    public void start() {
        server.start();
        thread.execute(() -> settings.peers().ifPresent(address -> peers.open(worker, address)));
        thread.execute(this::sweepConnections);
        thread.execute(() -> context.paths().checkSilence(context.upstreams()));
    }

    /** Confirms the views published before, once they are in force. */
    public void confirm(ViewFreshness.ClockReading readStart) {
        thread.execute(() -> context.freshness().confirm(readStart));
    }

    /** Applies a newer view. */
    public void publish(FleetView view) {
        List<Runnable> updates = List.of(
                () -> context.upstreams().update(view, context.clock().millis()),
                () -> context.streamOrigins().update(view),
                () -> context.crashGuard().update(view),
                () -> context.rateLimits().update(view),
                () -> context.rollouts().update(view),
                () -> context.balancer().update(view),
                () -> context.paths().monitor().update(view),
                () -> peers.updatePeers(others(view)));
        thread.execute(() -> updates.forEach(barrier::run));
    }

    @Override
    public void collect(Consumer<StreamOrigins> result) {
        thread.execute(() -> result.accept(context.streamOrigins().begun()));
    }

    @Override
    public void learn(StreamOrigins origins) {
        thread.execute(() -> barrier.run(() -> context.streamOrigins().learn(origins)));
    }

    @Override
    public void assess(ServiceId service, long rollout, Consumer<RolloutAssessment> result) {
        thread.execute(() -> result.accept(context.rollouts().assess(service, rollout)));
    }

    @Override
    public void stopTarget(ServiceId service, long rollout) {
        thread.execute(() -> barrier.run(() -> context.rollouts().stopTarget(service, rollout)));
    }

    @Override
    public void announceChange(long rollout) {
        thread.execute(() -> barrier.run(() -> context.rollouts().announceChange(rollout)));
    }

    private Map<InstanceId, NetworkAddress> others(FleetView view) {
        return view.peers().entrySet().stream()
                .filter(peer -> !peer.getKey().equals(settings.id()))
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
    }

    /** Performs a planned stop: blocks until all responses have been written or time is up; returns how many remain. */
    public int stop() {
        return new PlannedStop(context, thread, barrier, server::stop).run();
    }

    /** Closes all connections and stops the threads. */
    public void close() {
        server.stop();
        peers.close();
        worker.shutdownNow();
    }

    private void probe(UpstreamEntry entry) {
        context.upstreams()
                .find(entry.id())
                .filter(upstream -> upstream.entry().sameProcess(entry))
                .ifPresent(upstream -> context.connections().probe(upstream, () -> {}, failure -> {}));
    }

    private void runAfter(long delayMillis, Runnable action) {
        thread.executeAfter(barrier.guard(action), delayMillis, TimeUnit.MILLISECONDS);
    }

    private void scheduleFlush() {
        thread.executeAfter(() -> context.confirmations().flush(), TICK_MS, TimeUnit.MILLISECONDS);
    }

    private void sweepConnections() {
        thread.executeAfter(this::sweepConnections, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
        context.connections().closeExpired();
    }

    private void sendReadiness(HttpServerExchange exchange) {
        boolean ready = !context.stop().stopping()
                && context.upstreams().view().routes().isPresent()
                && !context.confirmations().nearlyStale();
        exchange.setStatusCode(ready ? OK : UNAVAILABLE);
    }

    private void sendMetrics(HttpServerExchange exchange) {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain; version=0.0.4");
        exchange.getResponseSender().send(PrometheusText.format(context.metrics()));
    }

    private HttpHandler operatorHandler() {
        ExplainHandler explain = new ExplainHandler(context, settings);
        return exchange -> {
            if (exchange.getRequestPath().equals(EXPLAIN_PATH)) {
                explain.handleRequest(exchange);
            } else {
                sendMetrics(exchange);
            }
        };
    }

    private Undertow buildServer(ByteBufferPool buffers) {
        TrafficHandler handler = new TrafficHandler(context);
        Undertow.Builder builder = Undertow.builder()
                .setWorker(worker)
                .setByteBufferPool(buffers)
                .addHttpListener(settings.callers().port(), settings.callers().host(), handler)
                .addHttpListener(
                        settings.readiness().port(), settings.readiness().host(), this::sendReadiness)
                .addHttpListener(settings.metricsPort(), settings.callers().host(), operatorHandler())
                .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_PARSED_HEAD_BYTES)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, HEAD_TIMEOUT_MS)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MS)
                .setServerOption(UndertowOptions.ENABLE_HTTP2, false)
                .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false);
        settings.peers()
                .ifPresent(address -> builder.addHttpListener(
                        address.port(), address.host(), new PeerRequestHandler(context, handler)));
        return builder.build();
    }

    private static XnioWorker createWorker() {
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
