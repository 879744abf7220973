package org.cuminspur.router;

import com.codahale.metrics.MetricRegistry;
import org.cuminspur.admission.ConcurrencyAdmission;
import org.cuminspur.control.ControlInput;
import org.cuminspur.http.client.HttpClient;
import org.cuminspur.http.platform.EtcdStore;
import org.cuminspur.http.platform.InstanceWatcher;
import org.cuminspur.peer.PeerLinks;
import org.cuminspur.router.internal.caller.CallerServer;
import org.cuminspur.router.internal.caller.RequestPipeline;
import org.cuminspur.router.internal.caller.UpstreamCaller;
import org.cuminspur.router.internal.control.ControlLoop;
import org.cuminspur.router.internal.once.LedgerDriver;
import org.cuminspur.router.internal.operator.OperatorServer;
import org.cuminspur.time.Clock;

/**
 * One router: its control thread, its servers and its clients.
 *
 * <p>Thread-safe. {@link #stop} serves requests in progress to their end before it returns.
 */
public final class RouterDaemon {
    private static final int IO_THREADS = 2;

    private final HttpClient http;
    private final EtcdStore store;
    private final PeerLinks peers;
    private final LedgerDriver once;
    private final ControlLoop control;
    private final CallerServer callers;
    private final OperatorServer operators;

    private RouterDaemon(RouterSettings settings) {
        Clock clock = Clock.system();
        MetricRegistry metrics = new MetricRegistry();
        RouterSettings.Platform platform = settings.platform();
        http = new HttpClient(clock, IO_THREADS, platform.timeoutMillis());
        store = new EtcdStore(http, platform.store(), platform.timeoutMillis());
        once = new LedgerDriver(settings.once(), settings.self().id(), store, clock, metrics);
        control = new ControlLoop(
                settings.self(),
                clock,
                store,
                listener -> new InstanceWatcher(http, platform.instances(), platform.timeoutMillis(), listener),
                http,
                metrics);
        peers = new PeerLinks(
                settings.self().id(),
                settings.host(),
                settings.peers().port(),
                settings.peers().key(),
                metrics,
                (from, message) -> control.post(new ControlInput.PeerReceived(from, message)));
        RequestPipeline pipeline = new RequestPipeline(
                control::snapshot,
                new ConcurrencyAdmission(settings.callers().threads()),
                once.ledger(),
                new UpstreamCaller(http, clock, metrics),
                clock);
        callers = new CallerServer(settings, pipeline, metrics);
        operators = new OperatorServer(settings, control, metrics);
    }

    /** Starts a router. */
    public static RouterDaemon start(RouterSettings settings) {
        RouterDaemon daemon = new RouterDaemon(settings);
        daemon.once.start();
        daemon.callers.start();
        daemon.operators.start();
        daemon.control.start(daemon.peers);
        return daemon;
    }

    /** Returns the line printed once the router listens, which names its ports. */
    public String readyLine() {
        return "listening callers=" + callers.port() + " operator=" + operators.port() + " peer=" + peers.port();
    }

    /** Stops the router: it becomes unready, serves what is in progress, then leaves. */
    public void stop() {
        control.post(new ControlInput.StopRequested());
        callers.stop();
        once.close();
        operators.stop();
        control.close();
        peers.close();
        store.close();
        http.close();
    }
}
