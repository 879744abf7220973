package org.cuminspur.router.internal.traffic;

import com.codahale.metrics.MetricRegistry;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.cuminspur.event.EventSink;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.ServiceId;
import org.cuminspur.reachability.PathCodec;
import org.cuminspur.reachability.PathMessage;
import org.cuminspur.reachability.PathMonitor;
import org.cuminspur.router.TrafficSettings;
import org.cuminspur.time.Clock;
import org.cuminspur.time.Timer;
import org.cuminspur.traffic.Destination;
import org.cuminspur.traffic.FleetView;
import org.cuminspur.traffic.UpstreamEntry;
import org.cuminspur.traffic.UpstreamPool;
import org.cuminspur.traffic.UpstreamState;

/** Watches the paths to upstreams, and asks other instances about them; used on the traffic thread. */
final class PathGuard implements UpstreamConnectionPool.ConnectListener, PathMonitor.Host {
    private static final String COUNTERS = "paths";

    /** Interval between checks for requests that wait in silence. */
    private static final long CHECK_INTERVAL_MS = 250;

    private final Clock clock;
    private final Timer timer;
    private final PeerChannel channel;
    private final UnansweredRequests unanswered;
    private final MetricRegistry metrics;
    private final Consumer<UpstreamEntry> prober;
    private final PathMonitor monitor;
    private long lateMillis;

    /**
     * Creates a guard that knows no upstream.
     *
     * @param prober opens a connection to an upstream
     */
    PathGuard(
            TrafficSettings settings,
            Clock clock,
            Timer timer,
            PeerChannel channel,
            UnansweredRequests unanswered,
            EventSink events,
            MetricRegistry metrics,
            Consumer<UpstreamEntry> prober) {
        this.clock = clock;
        this.timer = timer;
        this.channel = channel;
        this.unanswered = unanswered;
        this.metrics = metrics;
        this.prober = prober;
        monitor = new PathMonitor(settings.id(), settings.domain(), clock, timer, new Random(), this, events);
        channel.register(COUNTERS, kind -> PathCodec.isKind((byte) kind), this::receive);
    }

    /** Returns what is believed of the paths. */
    PathMonitor monitor() {
        return monitor;
    }

    /** Returns how late the traffic thread was at the last check. */
    long lateMillis() {
        return lateMillis;
    }

    /** Returns the instance that a request goes through, empty if none is known that was not tried. */
    Optional<PeerInstance> choosePeer(FleetView view, ServiceId service, Set<InstanceId> tried) {
        return monitor.relay(service, tried)
                .flatMap(id -> Optional.ofNullable(view.peers().get(id)).map(address -> new PeerInstance(id, address)));
    }

    /**
     * Checks again and again whether requests wait while no upstream of their service sends a byte, or at an upstream that
     * leaves.
     */
    void checkSilence(UpstreamPool upstreams) {
        long now = clock.millis();
        timer.schedule(CHECK_INTERVAL_MS, () -> {
            lateMillis = clock.millis() - now - CHECK_INTERVAL_MS;
            checkSilence(upstreams);
        });
        unanswered.checkLeaving();
        upstreams.view().upstreams().values().stream()
                .filter(entry -> upstreams
                        .find(entry.id())
                        .filter(state -> state.unansweredMillis(now) >= PathMonitor.SILENCE_MS)
                        .isPresent())
                .map(UpstreamEntry::service)
                .distinct()
                .forEach(monitor::requestsWait);
    }

    @Override
    public void connected(Destination destination) {
        if (destination instanceof UpstreamState upstream) {
            monitor.connected(upstream.entry());
        }
    }

    @Override
    public void connectFailed(Destination destination, long startedMillis) {
        if (destination instanceof UpstreamState upstream) {
            monitor.connectFailed(upstream.entry(), startedMillis);
        }
    }

    @Override
    public void probe(UpstreamEntry upstream) {
        metrics.counter(COUNTERS + ".probes").inc();
        prober.accept(upstream);
    }

    @Override
    public void send(InstanceId to, PathMessage message) {
        PathCodec.encode(message).ifPresent(datagram -> channel.send(COUNTERS, to, datagram));
    }

    @Override
    public void cutOff(ServiceId service) {
        metrics.counter(COUNTERS + ".cut-off").inc();
        unanswered.cutOff(service);
    }

    private boolean receive(InstanceId from, ByteBuffer datagram) {
        Optional<PathMessage> message = PathCodec.decode(datagram);
        message.ifPresent(known -> monitor.receive(from, known));
        return message.isPresent();
    }
}
