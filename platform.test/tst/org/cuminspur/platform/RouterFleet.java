package org.cuminspur.platform;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.cuminspur.router.TrafficRouter;
import org.cuminspur.router.TrafficSettings;
import org.cuminspur.router.TrafficSettingsParser;
import org.cuminspur.standin.FreePorts;
import org.cuminspur.standin.users.InstanceSettings;
import org.cuminspur.standin.users.StandinStore;

/** Several instances before one store; used by one thread. */
final class RouterFleet implements AutoCloseable {
    static final String INSTANCE_PREFIX = "cuminspur/instance/";

    /** Time in which a change in the store reaches the instances. */
    private static final long APPLY_MS = 700;

    private final StandinStore store;
    private final List<TrafficRouter> routers = new ArrayList<>();
    private final List<Integer> ports = new ArrayList<>();
    private final List<Integer> peersPorts = new ArrayList<>();
    private final List<String> rolloutEvents = new CopyOnWriteArrayList<>();

    RouterFleet(StandinStore store, int instances) {
        this.store = store;
        for (int i = 0; i < instances; i++) {
            start();
        }
    }

    /** Starts another instance, waits until the others can know it, and returns its number. */
    int start() {
        return start("a", store.port());
    }

    /** Starts an instance in a failure domain that sees the store at a port. */
    int start(String domain, int storePort) {
        int registered = store.count(INSTANCE_PREFIX);
        int instance = startAlone(domain, storePort);
        Deployment.await("registered", () -> store.count(INSTANCE_PREFIX) > registered);
        Deployment.pause(APPLY_MS);
        return instance;
    }

    /** Starts an instance, of which the others need not know yet, and returns its number. */
    int startAlone(String domain, int storePort) {
        int port = FreePorts.next();
        int peersPort = FreePorts.next();
        ports.add(port);
        peersPorts.add(peersPort);
        Either<?, TrafficSettings> settings = TrafficSettingsParser.parse(
                "settings",
                InstanceSettings.text("router-" + port, domain, port, FreePorts.next(), peersPort, storePort));
        routers.add(TrafficRouter.start(
                settings.get(), Main.platform(settings.get(), this::recordEvent), this::recordEvent));
        return routers.size() - 1;
    }

    private void recordEvent(String event, Object... fields) {
        if (event.startsWith("rollout-")) {
            rolloutEvents.add(event + " " + List.of(fields));
        }
    }

    /** Returns what the instances have logged of roll-outs. */
    List<String> rolloutEvents() {
        return List.copyOf(rolloutEvents);
    }

    /** Stops an instance at once. */
    void kill(int instance) {
        routers.get(instance).close();
    }

    /** Returns the port at which an instance receives requests. */
    int port(int instance) {
        return ports.get(instance);
    }

    /** Returns the port at which an instance receives requests of other instances. */
    int peersPort(int instance) {
        return peersPorts.get(instance);
    }

    @Override
    public void close() {
        routers.forEach(TrafficRouter::close);
    }
}
