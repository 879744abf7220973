package org.cuminspur.router.internal.traffic;

import com.codahale.metrics.MetricRegistry;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.cuminspur.event.EventSink;
import org.cuminspur.id.InstanceId;
import org.cuminspur.rollout.RolloutBounds;
import org.cuminspur.rollout.RolloutCodec;
import org.cuminspur.rollout.RolloutMessage;
import org.cuminspur.rollout.RolloutMonitor;
import org.cuminspur.time.Clock;
import org.cuminspur.time.Timer;
import org.cuminspur.traffic.UpstreamPool;

/** Carries the messages about roll-outs over the channel between instances; stateless. */
final class RolloutMessages {
    private static final String COUNTERS = "rollout-messages";

    /** What a monitor needs of its process; immutable. */
    record Context(
            InstanceId self,
            Clock clock,
            Timer timer,
            RolloutBounds bounds,
            BooleanSupplier viewCurrent,
            Runnable requestConfirmation,
            EventSink events,
            MetricRegistry metrics) {}

    private RolloutMessages() {}

    /** Returns a monitor that is connected to those of the other instances; used on the traffic thread. */
    static RolloutMonitor connect(Context context, UpstreamPool upstreams, PeerChannel channel) {
        RolloutMonitor monitor = new RolloutMonitor(
                context.self(),
                context.clock(),
                context.timer(),
                upstreams,
                context.bounds(),
                context.viewCurrent(),
                host(channel, context.requestConfirmation()),
                context.events(),
                name -> context.metrics().counter(name).inc());
        channel.register(
                COUNTERS,
                kind -> RolloutCodec.isKind((byte) kind),
                (from, datagram) -> receive(monitor, from, datagram));
        return monitor;
    }

    private static RolloutMonitor.Host host(PeerChannel channel, Runnable requestConfirmation) {
        return new RolloutMonitor.Host() {
            @Override
            public void send(InstanceId to, RolloutMessage message) {
                channel.send(COUNTERS, to, RolloutCodec.encode(message));
            }

            @Override
            public void sendToAll(RolloutMessage message) {
                channel.sendToAll(COUNTERS, RolloutCodec.encode(message));
            }

            @Override
            public void requestConfirmation() {
                requestConfirmation.run();
            }
        };
    }

    private static boolean receive(RolloutMonitor monitor, InstanceId from, ByteBuffer datagram) {
        Optional<RolloutMessage> message = RolloutCodec.decode(datagram);
        message.ifPresent(known -> monitor.receive(from, known));
        return message.isPresent();
    }
}
