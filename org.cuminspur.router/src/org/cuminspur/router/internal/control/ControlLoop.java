package org.cuminspur.router.internal.control;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import io.vavr.control.Try;
import java.security.SecureRandom;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.cuminspur.admission.AccountLimiters;
import org.cuminspur.control.ControlCore;
import org.cuminspur.control.ControlInput;
import org.cuminspur.control.ControlState;
import org.cuminspur.control.ListedInstance;
import org.cuminspur.control.RouterIdentity;
import org.cuminspur.http.client.HttpClient;
import org.cuminspur.http.platform.InstanceWatcher;
import org.cuminspur.peer.PeerTransport;
import org.cuminspur.routing.RoutingSnapshot;
import org.cuminspur.store.WatchedStore;
import org.cuminspur.time.Clock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the control core on one thread and connects it to the clock, the platform and the peers.
 *
 * <p>Thread-safe. An input that the core fails on is logged and dropped; the thread continues.
 */
public final class ControlLoop implements AutoCloseable {
    private static final Logger log = LoggerFactory.getLogger(ControlLoop.class);
    private static final long TICK_MS = 100;

    private final Clock clock;
    private final InstanceWatcher instances;
    private final ControlCore core;
    private final UpstreamProber prober;
    private final OutputRunner outputs;
    private final Timer ticks;
    private final ScheduledExecutorService thread = executor("control");

    /**
     * Creates the loop without starting it.
     *
     * @param watcherFactory creates the watcher of the platform's instance list for a given receiver
     */
    public ControlLoop(
            RouterIdentity self,
            Clock clock,
            WatchedStore store,
            Function<Consumer<List<ListedInstance>>, InstanceWatcher> watcherFactory,
            HttpClient http,
            MetricRegistry metrics) {
        this.clock = clock;
        this.instances = watcherFactory.apply(listed -> post(new ControlInput.InstancesListed(listed)));
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(new SecureRandom().nextLong());
        core = new ControlCore(self, random);
        prober = new UpstreamProber(http, clock);
        outputs = new OutputRunner(store, core, prober, this::post);
        ticks = metrics.timer("control.tick");
    }

    /** Starts the periodic ticks and the watch of the instance list. */
    public void start(PeerTransport peers) {
        outputs.attachPeers(peers);
        thread.scheduleAtFixedRate(() -> runLogged(this::tick), 0, TICK_MS, TimeUnit.MILLISECONDS);
        instances.start();
    }

    /** Queues an input for the core; does nothing after {@link #close}. */
    public void post(ControlInput input) {
        try {
            thread.execute(() -> runLogged(() -> core.accept(input, clock.millis(), outputs)));
        } catch (RejectedExecutionException e) {
            log.debug("input after close: {}", input);
        }
    }

    /** Returns the latest snapshot. */
    public RoutingSnapshot snapshot() {
        return core.snapshot();
    }

    /** Returns the limiters of the accounts that this router serves. */
    public AccountLimiters accountLimiters() {
        return core.accountLimiters();
    }

    /**
     * Reads the control state on the control thread and waits for the result.
     *
     * <p>Publishes a snapshot first, so that requests are already routed by the state that is read.
     */
    public <T> Try<T> read(Function<ControlState, T> reader) {
        Callable<T> task = () -> {
            core.publishSnapshot();
            return reader.apply(core.state());
        };
        return Try.of(() -> thread.submit(task)).mapTry(Future::get);
    }

    @Override
    public void close() {
        instances.close();
        thread.shutdownNow();
        prober.close();
    }

    private void tick() {
        try (Timer.Context timed = ticks.time()) {
            core.tick(clock.millis(), outputs);
        }
    }

    private static void runLogged(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            log.error("event=control-step-failed", e);
        }
    }

    private static ScheduledExecutorService executor(String name) {
        return Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        });
    }
}
