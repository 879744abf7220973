package org.cuminspur.router;

import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cuminspur.event.EventSink;
import org.cuminspur.event.FaultBarrier;
import org.cuminspur.rollout.RolloutKeys;
import org.cuminspur.rollout.RolloutSupport;
import org.cuminspur.router.internal.traffic.TrafficServer;
import org.cuminspur.store.PolledStore;
import org.cuminspur.time.Clock;
import org.cuminspur.time.Timer;
import org.cuminspur.traffic.FleetUpdateDecoder;
import org.cuminspur.traffic.FleetWatcher;
import org.cuminspur.traffic.InstanceRegistration;
import org.cuminspur.traffic.ViewFreshness;

/**
 * An instance that reads its configuration and its upstreams from the platform's store and routes requests.
 *
 * <p>Thread-safe. The control thread maintains the state of the fleet and the traffic thread serves requests; they
 * share immutable views. The control thread keeps the process running.
 */
public final class TrafficRouter {
    /** Access to the platform and its formats; immutable. */
    public record Platform(
            PolledStore store,
            FleetUpdateDecoder decoder,
            HeaderCodec headerCodec,
            RolloutKeys rolloutKeys,
            String registrationKey) {}

    private final TrafficSettings settings;
    private final EventSink events;
    private final FaultBarrier barrier;
    private final ScheduledExecutorService control;
    private final InstanceRegistration registration;
    private final FleetWatcher watcher;
    private final TrafficServer server;

    private TrafficRouter(TrafficSettings settings, Platform platform, EventSink log) {
        this.settings = settings;
        MetricRegistry metrics = new MetricRegistry();
        events = countingSink(log, metrics);
        barrier = new FaultBarrier(events, "control-failed");
        control = Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "control"));
        Clock clock = Clock.system();
        Clock wallClock = java.time.Clock.systemUTC()::millis;
        ViewFreshness freshness = new ViewFreshness(clock, wallClock);
        Timer timer = this::runAfter;
        server = new TrafficServer(
                settings,
                platform.headerCodec(),
                clock,
                freshness,
                this::requestConfirmation,
                this::expectsNoConfirmation,
                events,
                metrics);
        FleetWatcher.Context context = new FleetWatcher.Context(clock, timer, freshness, settings.bounds(), events);
        watcher = new FleetWatcher(
                platform.store(),
                platform.decoder(),
                settings.id(),
                context,
                server::publish,
                server::confirm,
                server,
                new RolloutSupport(platform.rolloutKeys(), server));
        registerGauges(metrics, freshness);
        registration = new InstanceRegistration(
                platform.store(),
                platform.registrationKey(),
                InstanceRegistration.value(settings.domain(), settings.peers()),
                timer,
                events);
    }

    public static TrafficRouter start(TrafficSettings settings, Platform platform, EventSink events) {
        TrafficRouter router = new TrafficRouter(settings, platform, events);
        events.emit(
                "started",
                "instance",
                settings.id().value(),
                "domain",
                settings.domain().value());
        router.server.start();
        router.watcher.start();
        router.runAfter(0, router.registration::start);
        return router;
    }

    /** Logs whether the settings changed; a change takes effect only in a new process. */
    public void reload(TrafficSettings newer) {
        events.emit("reloaded", "instance", newer.id().value(), "changed", !newer.equals(settings));
    }

    /** Performs a planned stop: becomes unready at once and returns when its requests have ended. */
    public void stop() {
        events.emit("stopping", "instance", settings.id().value());
        registration.stop();
        int cut = server.stop();
        events.emit("stopped", "instance", settings.id().value(), "cut", cut);
    }

    /** Stops the instance at once; for programs that embed it. */
    public void close() {
        registration.stop();
        server.close();
        control.shutdownNow();
    }

    /** Counts all events by name, including those that the log drops. */
    private static EventSink countingSink(EventSink log, MetricRegistry metrics) {
        return (event, fields) -> {
            metrics.counter("events." + event).inc();
            log.emit(event, fields);
        };
    }

    private void registerGauges(MetricRegistry metrics, ViewFreshness freshness) {
        metrics.gauge(
                "view.config-revision",
                () -> () -> watcher.lastConfirmation().config().value());
        metrics.gauge(
                "view.store-era", () -> () -> watcher.lastConfirmation().store().era());
        metrics.gauge(
                "view.store-revision",
                () -> () -> watcher.lastConfirmation().store().number());
        metrics.gauge("view.confirmation-age-millis", () -> freshness::ageMillis);
    }

    private void requestConfirmation() {
        watcher.requestConfirmation();
    }

    private boolean expectsNoConfirmation() {
        return watcher.expectsNoConfirmation();
    }

    private void runAfter(long delayMillis, Runnable action) {
        if (!control.isShutdown()) {
            control.schedule(barrier.guard(action), delayMillis, TimeUnit.MILLISECONDS);
        }
    }
}
