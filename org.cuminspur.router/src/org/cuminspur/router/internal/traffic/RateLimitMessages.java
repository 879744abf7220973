package org.cuminspur.router.internal.traffic;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.Random;
import org.cuminspur.id.InstanceId;
import org.cuminspur.ratelimit.PermitCodec;
import org.cuminspur.ratelimit.PermitMessage;
import org.cuminspur.ratelimit.RateLimits;
import org.cuminspur.time.Clock;
import org.cuminspur.time.Timer;

/** Carries the messages about limits of upstreams over the channel between instances; stateless. */
final class RateLimitMessages {
    private static final String COUNTERS = "rate-limits";

    private RateLimitMessages() {}

    /** Returns limits that are shared over a channel; used on the traffic thread. */
    static RateLimits connect(InstanceId self, Clock clock, Timer timer, PeerChannel channel) {
        RateLimits limits = new RateLimits(self, clock, timer, new Random(), new RateLimits.Host() {
            @Override
            public void send(InstanceId to, PermitMessage message) {
                channel.send(COUNTERS, to, PermitCodec.encode(message));
            }

            @Override
            public void sendToAll(PermitMessage message) {
                channel.sendToAll(COUNTERS, PermitCodec.encode(message));
            }
        });
        channel.register(
                COUNTERS, kind -> PermitCodec.isKind((byte) kind), (from, datagram) -> receive(limits, from, datagram));
        return limits;
    }

    private static boolean receive(RateLimits limits, InstanceId from, ByteBuffer datagram) {
        Optional<PermitMessage> message = PermitCodec.decode(datagram);
        message.ifPresent(known -> limits.receive(from, known));
        return message.isPresent();
    }
}
