package org.cuminspur.router;

import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.TimeUnit;
import org.cuminspur.control.ControlInput;
import org.cuminspur.http.client.HttpClient;
import org.cuminspur.http.platform.EtcdStore;
import org.cuminspur.http.platform.InstanceWatcher;
import org.cuminspur.peer.PeerTransport;
import org.cuminspur.router.internal.caller.CallerServer;
import org.cuminspur.router.internal.caller.RequestPipeline;
import org.cuminspur.router.internal.caller.UpstreamCaller;
import org.cuminspur.router.internal.control.AccountAdmission;
import org.cuminspur.router.internal.control.ControlLoop;
import org.cuminspur.router.internal.once.LedgerDriver;
import org.cuminspur.router.internal.operator.OperatorServer;
import org.cuminspur.slo.BurnRecorder;
import org.cuminspur.time.Clock;

/**
 * A router with its control thread, servers and clients.
 *
 * <p>Thread-safe. {@link #stop} completes the requests in progress before it returns.
 */
public final class RouterDaemon {
    private static final int IO_THREADS = 2;

    private final long unreadyMillis;
    private final HttpClient http;
    private final EtcdStore store;
    private final PeerTransport peers;
    private final LedgerDriver ledgerDriver;
    private final ControlLoop control;
    private final CallerServer callers;
    private final OperatorServer operators;

    private RouterDaemon(RouterSettings settings) {
        unreadyMillis = settings.callers().unreadyMillis();
        Clock clock = Clock.system();
        MetricRegistry metrics = new MetricRegistry();
        RouterSettings.Platform platform = settings.platform();
        http = new HttpClient(clock, IO_THREADS, platform.timeoutMillis());
        store = new EtcdStore(http, platform.store(), platform.timeoutMillis());
        ledgerDriver = new LedgerDriver(settings.idempotency(), settings.self().id(), store, clock, metrics);
        control = new ControlLoop(
                settings.self(),
                clock,
                store,
                listener -> new InstanceWatcher(http, platform.instances(), platform.timeoutMillis(), listener),
                http,
                metrics);
        peers = new PeerTransport(
                settings.self().id(),
                settings.host(),
                settings.peers().port(),
                settings.peers().key(),
                metrics,
                (from, message) -> control.post(new ControlInput.PeerMessageReceived(from, message)));
        BurnRecorder burn = new BurnRecorder(clock);
        RequestPipeline pipeline = new RequestPipeline(
                control::snapshot,
                AccountAdmission.start(settings.callers().threads(), control.accountLimiters(), clock, metrics),
                ledgerDriver.ledger(),
                new UpstreamCaller(http, clock, metrics),
                clock,
                burn);
        callers = new CallerServer(settings, pipeline, metrics);
        operators = new OperatorServer(settings, control, metrics, burn);
    }

    public static RouterDaemon start(RouterSettings settings) {
        RouterDaemon daemon = new RouterDaemon(settings);
        daemon.ledgerDriver.start();
        daemon.callers.start();
        daemon.operators.start();
        daemon.control.start(daemon.peers);
        return daemon;
    }

    /** Returns the line to print once the router listens; it names the ports. */
    public String listeningLine() {
        return "listening callers=" + callers.port() + " operator=" + operators.port() + " peer=" + peers.port();
    }

    /**
     * Stops the router.
     *
     * <p>It becomes unready and keeps serving until the load balancer has had time to notice; then it refuses new
     * requests as not run and completes those in progress. The control thread runs throughout, to hand its duties
     * over.
     */
    public void stop() {
        control.post(new ControlInput.StopRequested());
        callers.drain();
        pause(unreadyMillis);
        callers.rejectNewRequests();
        callers.stop();
        ledgerDriver.close();
        operators.stop();
        control.close();
        peers.close();
        store.close();
        http.close();
    }

    private static void pause(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
