package org.cuminspur.router;

import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cuminspur.event.EventSink;
import org.cuminspur.router.internal.traffic.TrafficServer;
import org.cuminspur.store.Store;
import org.cuminspur.time.Clock;
import org.cuminspur.time.Timer;
import org.cuminspur.traffic.FleetUpdateDecoder;
import org.cuminspur.traffic.FleetWatcher;
import org.cuminspur.traffic.InstanceRegistration;
import org.cuminspur.traffic.ViewFreshness;

/**
 * An instance that takes its configuration and its upstreams from the platform's store and routes requests.
 *
 * <p>Thread-safe. One thread holds what is known of the fleet, another carries the traffic; they share immutable views.
 * The first of them keeps the process running.
 */
public final class TrafficRouter {
    /** How the platform is spoken to; immutable. */
    public record Platform(Store store, FleetUpdateDecoder decoder, HeaderCodec headerCodec, String registrationKey) {}

    private final TrafficSettings settings;
    private final EventSink events;
    private final ScheduledExecutorService control;
    private final InstanceRegistration registration;
    private final FleetWatcher feed;
    private final TrafficServer server;

    private TrafficRouter(TrafficSettings settings, Platform platform, EventSink log) {
        this.settings = settings;
        MetricRegistry metrics = new MetricRegistry();
        events = counted(log, metrics);
        control = Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "control"));
        Clock clock = Clock.system();
        Clock wall = java.time.Clock.systemUTC()::millis;
        ViewFreshness freshness = new ViewFreshness(clock, wall);
        Timer timer = this::later;
        server = new TrafficServer(
                settings,
                platform.headerCodec(),
                clock,
                freshness,
                this::confirmSoon,
                this::storeAway,
                events,
                metrics);
        FleetWatcher.Context context = new FleetWatcher.Context(clock, timer, freshness, settings.bounds(), events);
        feed = new FleetWatcher(
                platform.store(),
                platform.decoder(),
                settings.id(),
                platform.registrationKey(),
                context,
                server::publish);
        registration = new InstanceRegistration(
                platform.store(), platform.registrationKey(), settings.domain().value(), timer, events);
    }

    /** Starts an instance. */
    public static TrafficRouter start(TrafficSettings settings, Platform platform, EventSink events) {
        TrafficRouter router = new TrafficRouter(settings, platform, events);
        events.emit(
                "started",
                "instance",
                settings.id().value(),
                "domain",
                settings.domain().value());
        router.server.start();
        router.feed.start();
        router.later(0, router.registration::start);
        return router;
    }

    /** Notes that the settings may have changed; all that could change needs a new process. */
    public void reload(TrafficSettings newer) {
        events.emit("reloaded", "instance", newer.id().value(), "changed", !newer.equals(settings));
    }

    /** Stops the instance as planned: unready at once, gone when its requests have ended. */
    public void stop() {
        events.emit("stopping", "instance", settings.id().value());
        registration.stop();
        int cut = server.stop();
        events.emit("stopped", "instance", settings.id().value(), "cut", cut);
    }

    /** Ends the instance at once; for programs that embed it and go on. */
    public void close() {
        registration.stop();
        server.close();
        control.shutdownNow();
    }

    /** Counts all events by name, those that the log drops too. */
    private static EventSink counted(EventSink log, MetricRegistry metrics) {
        return (event, fields) -> {
            metrics.counter("events." + event).inc();
            log.emit(event, fields);
        };
    }

    private void confirmSoon() {
        feed.requestConfirmation();
    }

    private boolean storeAway() {
        return feed.storeUnavailable();
    }

    private void later(long delayMillis, Runnable action) {
        if (!control.isShutdown()) {
            control.schedule(() -> run(action), delayMillis, TimeUnit.MILLISECONDS);
        }
    }

    private void run(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            events.emit("control-failed", "error", e.toString());
        }
    }
}
