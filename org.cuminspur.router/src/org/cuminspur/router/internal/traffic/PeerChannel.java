package org.cuminspur.router.internal.traffic;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;
import org.cuminspur.balance.BalanceCodec;
import org.cuminspur.event.EventSink;
import org.cuminspur.event.FaultBarrier;
import org.cuminspur.id.InstanceId;
import org.cuminspur.quarantine.QuarantineCodec;
import org.cuminspur.ratelimit.PermitCodec;
import org.cuminspur.rollout.RolloutCodec;
import org.cuminspur.traffic.LoadNoticeCodec;
import org.cuminspur.traffic.NetworkAddress;
import org.cuminspur.traffic.StreamOriginCodec;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioWorker;
import org.xnio.channels.MulticastMessageChannel;
import org.xnio.channels.SocketAddressBuffer;

/**
 * Sends messages to the other instances of the fleet and receives theirs, one in each datagram.
 *
 * <p>Used on the I/O thread, which it never blocks, except {@link #close}, which is thread-safe. Datagrams may be lost,
 * late or doubled. The first byte of a datagram tells its kind. Those that do not come from the address of a registered
 * instance are dropped.
 */
final class PeerChannel {
    private static final int MAX_BYTES = IntStream.of(
                    LoadNoticeCodec.MAX_BYTES,
                    StreamOriginCodec.MAX_BYTES,
                    QuarantineCodec.MAX_BYTES,
                    PermitCodec.MAX_BYTES,
                    RolloutCodec.MAX_BYTES,
                    BalanceCodec.MAX_BYTES)
            .max()
            .getAsInt();
    private static final String UNKNOWN_KIND = "peer-datagrams";

    /** Handles the datagrams of some kinds. */
    @FunctionalInterface
    interface Receiver {
        /** Handles a datagram, which is valid during the call only; returns false if it is malformed. */
        boolean receive(InstanceId from, ByteBuffer datagram);
    }

    /** A receiver with the name of its counters and the first bytes of its datagrams; immutable. */
    private record Registration(String name, IntPredicate kinds, Receiver receiver) {}

    private final EventSink events;
    private final MetricRegistry metrics;
    private final FaultBarrier barrier;
    private final ByteBuffer buffer = ByteBuffer.allocateDirect(MAX_BYTES + 1);
    private final SocketAddressBuffer sender = new SocketAddressBuffer();
    private final List<Registration> registrations = new ArrayList<>();
    private final Map<InstanceId, SocketAddress> addresses = new HashMap<>();
    private final Map<SocketAddress, InstanceId> peers = new HashMap<>();
    private volatile MulticastMessageChannel channel;
    private boolean sendFailing;

    /** Creates a closed channel, which drops what it is to send. */
    PeerChannel(EventSink events, MetricRegistry metrics) {
        this.events = events;
        this.metrics = metrics;
        this.barrier = new FaultBarrier(events, "peer-datagram-failed");
    }

    /**
     * Registers a receiver.
     *
     * @param name of its counters
     * @param kinds the first bytes of its datagrams
     */
    void register(String name, IntPredicate kinds, Receiver receiver) {
        registrations.add(new Registration(name, kinds, receiver));
    }

    /** Starts to receive at an address; without it, nothing is sent or received. */
    void open(XnioWorker worker, NetworkAddress address) {
        try {
            channel = worker.createUdpServer(socketAddress(address), OptionMap.EMPTY);
            channel.getReadSetter().set(readable -> receiveAll());
            channel.resumeReads();
        } catch (IOException e) {
            events.emit("peer-channel-failed", "address", address.toString(), "error", e.toString());
        }
    }

    void close() {
        IoUtils.safeClose(channel);
    }

    /** Replaces the addresses of the other instances. */
    void updatePeers(Map<InstanceId, NetworkAddress> others) {
        addresses.clear();
        peers.clear();
        others.forEach((id, peerAddress) -> {
            InetSocketAddress address = socketAddress(peerAddress);
            if (!address.isUnresolved()) {
                addresses.put(id, address);
                peers.put(address, id);
            }
        });
    }

    /** Sends a datagram to all other instances. */
    void sendToAll(String name, ByteBuffer datagram) {
        addresses.values().forEach(address -> send(name, address, datagram.duplicate()));
    }

    /** Sends a datagram to an instance; one without a known address gets none. */
    void send(String name, InstanceId to, ByteBuffer datagram) {
        Optional.ofNullable(addresses.get(to)).ifPresent(address -> send(name, address, datagram));
    }

    private void send(String name, SocketAddress address, ByteBuffer datagram) {
        if (channel == null) {
            return;
        }
        try {
            // A datagram for which the socket has no room is dropped, as the network may do.
            boolean sent = channel.sendTo(address, datagram);
            metrics.counter(name + (sent ? ".sent" : ".unsent")).inc();
            sendFailing = false;
        } catch (IOException e) {
            metrics.counter(name + ".unsent").inc();
            if (!sendFailing) {
                events.emit("peer-datagram-unsent", "peer", address.toString(), "error", e.toString());
            }
            sendFailing = true;
        }
    }

    private void receiveAll() {
        try {
            boolean more = receiveOne();
            while (more) {
                more = receiveOne();
            }
        } catch (IOException e) {
            events.emit("peer-channel-failed", "address", "", "error", e.toString());
        }
    }

    /** Receives a datagram; returns false if there is none. */
    private boolean receiveOne() throws IOException {
        buffer.clear();
        sender.clear();
        if (channel.receiveFrom(sender, buffer) <= 0) {
            return false;
        }
        buffer.flip();
        byte kind = buffer.get(0);
        Optional<Registration> registration = registrations.stream()
                .filter(candidate -> candidate.kinds().test(kind))
                .findFirst();
        InstanceId from = peers.get(sender.getSourceAddress());
        boolean accepted = from != null
                && buffer.remaining() <= MAX_BYTES
                && registration.map(known -> receive(known.receiver(), from)).orElse(false);
        String name = registration.map(Registration::name).orElse(UNKNOWN_KIND);
        metrics.counter(name + (accepted ? ".received" : ".rejected")).inc();
        return true;
    }

    private boolean receive(Receiver receiver, InstanceId from) {
        AtomicBoolean accepted = new AtomicBoolean();
        barrier.run(() -> accepted.set(receiver.receive(from, buffer)));
        return accepted.get();
    }

    private static InetSocketAddress socketAddress(NetworkAddress address) {
        return new InetSocketAddress(address.host(), address.port());
    }
}
