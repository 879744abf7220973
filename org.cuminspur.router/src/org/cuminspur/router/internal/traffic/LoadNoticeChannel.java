package org.cuminspur.router.internal.traffic;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cuminspur.event.EventSink;
import org.cuminspur.traffic.LoadNotice;
import org.cuminspur.traffic.LoadNoticeCodec;
import org.cuminspur.traffic.PeerAddress;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioWorker;
import org.xnio.channels.MulticastMessageChannel;
import org.xnio.channels.SocketAddressBuffer;

/**
 * Sends load notices to the other instances of the fleet and receives theirs, one in each datagram.
 *
 * <p>Used on the I/O thread, which it never blocks, except {@link #close}, which is thread-safe. Datagrams may be lost, late or doubled. Those that do not come from
 * the address of a registered instance are dropped.
 */
final class LoadNoticeChannel {
    private final EventSink events;
    private final MetricRegistry metrics;
    private final Consumer<LoadNotice> onNotice;
    private final ByteBuffer buffer = ByteBuffer.allocateDirect(LoadNoticeCodec.MAX_BYTES + 1);
    private final SocketAddressBuffer sender = new SocketAddressBuffer();
    private Set<SocketAddress> peers = Set.of();
    private volatile MulticastMessageChannel channel;
    private boolean sendFailing;

    /**
     * Creates a closed channel, which drops what it is to send.
     *
     * @param onNotice receives the notices of other instances
     */
    LoadNoticeChannel(EventSink events, MetricRegistry metrics, Consumer<LoadNotice> onNotice) {
        this.events = events;
        this.metrics = metrics;
        this.onNotice = onNotice;
    }

    /** Starts to receive at an address; throws {@link IOException} if it cannot be bound. */
    void open(XnioWorker worker, PeerAddress address) throws IOException {
        channel = worker.createUdpServer(socketAddress(address), OptionMap.EMPTY);
        channel.getReadSetter().set(readable -> receiveAll());
        channel.resumeReads();
    }

    void close() {
        IoUtils.safeClose(channel);
    }

    /** Replaces the addresses of the other instances. */
    void updatePeers(Stream<PeerAddress> addresses) {
        peers = addresses
                .map(LoadNoticeChannel::socketAddress)
                .filter(address -> !address.isUnresolved())
                .collect(Collectors.toSet());
    }

    /** Sends a notice to all other instances. */
    void send(LoadNotice notice) {
        if (channel != null) {
            LoadNoticeCodec.encode(notice)
                    .ifPresent(datagram -> peers.forEach(peer -> send(peer, datagram.duplicate())));
        }
    }

    private void send(SocketAddress peer, ByteBuffer datagram) {
        try {
            // A datagram for which the socket has no room is dropped, as the network may do.
            boolean sent = channel.sendTo(peer, datagram);
            metrics.counter(sent ? "load-notices.sent" : "load-notices.unsent").inc();
            sendFailing = false;
        } catch (IOException e) {
            metrics.counter("load-notices.unsent").inc();
            if (!sendFailing) {
                events.emit("load-notice-unsent", "peer", peer.toString(), "error", e.toString());
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
            events.emit("load-notices-failed", "error", e.toString());
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
        if (peers.contains(sender.getSourceAddress())) {
            LoadNoticeCodec.decode(buffer).ifPresentOrElse(this::received, this::reject);
        } else {
            reject();
        }
        return true;
    }

    private void received(LoadNotice notice) {
        metrics.counter("load-notices.received").inc();
        onNotice.accept(notice);
    }

    private void reject() {
        metrics.counter("load-notices.rejected").inc();
    }

    private static InetSocketAddress socketAddress(PeerAddress address) {
        return new InetSocketAddress(address.host(), address.port());
    }
}
