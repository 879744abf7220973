package org.cuminspur.reachability;

import java.util.Optional;
import java.util.Set;
import org.cuminspur.event.EventSink;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.ServiceId;
import org.cuminspur.traffic.FleetView;
import org.cuminspur.traffic.UpstreamEntry;

/** Decides as the product does; not thread-safe. */
final class MonitoredPathPolicy implements PathPolicy {
    private final PathMonitor monitor;

    MonitoredPathPolicy(CutSimulation world, SimulatedInstance self) {
        PathMonitor.Host host = new PathMonitor.Host() {
            @Override
            public void probe(UpstreamEntry upstream) {
                self.connect(upstream, made -> {
                    if (made) {
                        self.release(upstream);
                    }
                });
            }

            @Override
            public void send(InstanceId to, PathMessage message) {
                PathMessage received =
                        PathCodec.encode(message).flatMap(PathCodec::decode).orElseThrow();
                world.deliver(to, other -> ((MonitoredPathPolicy) other.policy()).monitor.receive(self.id, received));
            }

            @Override
            public void cutOff(ServiceId service) {
                self.repeatWaiting(service);
            }
        };
        monitor = new PathMonitor(
                self.id, self.domain, world.time().clock(), self::schedule, world.random(), host, EventSink.NONE);
    }

    @Override
    public void update(FleetView view) {
        monitor.update(view);
    }

    @Override
    public void connected(UpstreamEntry upstream) {
        monitor.connected(upstream);
    }

    @Override
    public void connectFailed(UpstreamEntry upstream, long startedMillis) {
        monitor.connectFailed(upstream, startedMillis);
    }

    @Override
    public void received(UpstreamEntry upstream) {
        monitor.received(upstream);
    }

    @Override
    public void silent(ServiceId service) {
        monitor.requestsWait(service);
    }

    @Override
    public boolean usesOwnPath(ServiceId service) {
        return monitor.usesOwnPath(service);
    }

    @Override
    public Optional<InstanceId> relay(ServiceId service, Set<InstanceId> tried) {
        return monitor.relay(service, tried);
    }

    @Override
    public void relayFailed(ServiceId service, InstanceId relay) {
        monitor.relayFailed(service, relay);
    }
}
