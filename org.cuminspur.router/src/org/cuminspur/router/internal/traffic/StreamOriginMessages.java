package org.cuminspur.router.internal.traffic;

import java.nio.ByteBuffer;
import java.util.Optional;
import org.cuminspur.id.InstanceId;
import org.cuminspur.time.Clock;
import org.cuminspur.time.Timer;
import org.cuminspur.traffic.StreamOriginCodec;
import org.cuminspur.traffic.StreamOriginDirectory;
import org.cuminspur.traffic.StreamOriginMessage;

/** Carries the messages about the origins of streams over the channel between instances; stateless. */
final class StreamOriginMessages {
    private static final String COUNTERS = "stream-origins";

    private StreamOriginMessages() {}

    /** Returns a directory that is shared over a channel; used on the traffic thread. */
    static StreamOriginDirectory connect(InstanceId self, Clock clock, Timer timer, PeerChannel channel) {
        StreamOriginDirectory directory = new StreamOriginDirectory(
                self,
                clock,
                timer,
                (to, message) ->
                        StreamOriginCodec.encode(message).ifPresent(datagram -> channel.send(COUNTERS, to, datagram)));
        channel.register(
                COUNTERS,
                kind -> StreamOriginCodec.isKind((byte) kind),
                (from, datagram) -> receive(directory, from, datagram));
        return directory;
    }

    private static boolean receive(StreamOriginDirectory directory, InstanceId from, ByteBuffer datagram) {
        Optional<StreamOriginMessage> message = StreamOriginCodec.decode(datagram);
        message.ifPresent(known -> directory.receive(from, known));
        return message.isPresent();
    }
}
