package org.cuminspur.router.internal.traffic;

import com.codahale.metrics.MetricRegistry;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import org.cuminspur.balance.BalanceCodec;
import org.cuminspur.balance.BalanceMessage;
import org.cuminspur.balance.FleetBalancer;
import org.cuminspur.event.EventSink;
import org.cuminspur.id.InstanceId;
import org.cuminspur.router.TrafficSettings;
import org.cuminspur.time.Clock;
import org.cuminspur.time.Timer;

/** Carries the messages about loads over the channel between instances; stateless. */
final class BalanceMessages {
    private static final String COUNTERS = "balance";

    private BalanceMessages() {}

    /** Returns a balancer that is connected to those of the other instances; used on the traffic thread. */
    static FleetBalancer connect(
            TrafficSettings settings,
            Clock clock,
            Timer timer,
            DoubleSupplier random,
            PeerChannel channel,
            EventSink events,
            MetricRegistry metrics) {
        FleetBalancer balancer = new FleetBalancer(
                settings.id(),
                settings.domain(),
                clock,
                timer,
                random,
                (to, message) -> channel.send(COUNTERS, to, BalanceCodec.encode(message)),
                events);
        metrics.gauge("balance.waiting", () -> balancer::waiting);
        metrics.gauge("balance.paced", () -> balancer::paced);
        channel.register(
                COUNTERS,
                kind -> BalanceCodec.isKind((byte) kind),
                (from, datagram) -> receive(balancer, from, datagram));
        return balancer;
    }

    private static boolean receive(FleetBalancer balancer, InstanceId from, ByteBuffer datagram) {
        Optional<BalanceMessage> message = BalanceCodec.decode(datagram);
        message.ifPresent(known -> balancer.receive(from, known));
        return message.isPresent();
    }
}
