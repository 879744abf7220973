package org.cuminspur.peer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.cuminspur.control.message.PeerMessage;
import org.cuminspur.id.InstanceId;
import org.cuminspur.peer.internal.FrameAuthenticator;
import org.cuminspur.peer.internal.PeerCodec;
import org.cuminspur.peer.internal.generated.Frame;

/**
 * Sends and receives messages between routers over TCP, with one outgoing connection per peer address.
 *
 * <p>Thread-safe. Delivery is best effort: a message is dropped and counted if the connection fails or its buffer is
 * full. A frame that fails authentication is dropped and counted, and its connection is closed.
 */
public final class PeerTransport implements AutoCloseable {
    private static final int MAX_FRAME_BYTES = 4 * 1_024 * 1_024;
    private static final int LENGTH_BYTES = 4;
    private static final int CONNECT_TIMEOUT_MS = 1_000;

    private final InstanceId self;
    private final FrameAuthenticator authenticator;
    private final BiConsumer<InstanceId, PeerMessage> messageHandler;
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Map<InetSocketAddress, ChannelFuture> connections = new ConcurrentHashMap<>();
    private final Channel server;
    private final Counter sentBytes;
    private final Counter receivedBytes;
    private final Counter unsentMessages;
    private final Counter unauthenticatedFrames;
    private final Counter malformedFrames;

    /**
     * Starts to listen for peers.
     *
     * @param port TCP port, 0 for any free one
     * @param messageHandler receives authenticated messages on the event loop thread; must not block
     */
    public PeerTransport(
            InstanceId self,
            String host,
            int port,
            String peerKey,
            MetricRegistry metrics,
            BiConsumer<InstanceId, PeerMessage> messageHandler) {
        this.self = self;
        this.authenticator = new FrameAuthenticator(peerKey);
        this.messageHandler = messageHandler;
        sentBytes = metrics.counter("peer.sent.bytes");
        receivedBytes = metrics.counter("peer.received.bytes");
        unsentMessages = metrics.counter("peer.unsent");
        unauthenticatedFrames = metrics.counter("peer.unauthenticated");
        malformedFrames = metrics.counter("peer.malformed");
        server = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childHandler(pipeline())
                .bind(host, port)
                .syncUninterruptibly()
                .channel();
    }

    /** Returns the port that peers connect to. */
    public int port() {
        return ((InetSocketAddress) server.localAddress()).getPort();
    }

    /** Sends a message to a peer; drops it if the peer cannot be connected or its buffer is full. */
    public void send(InstanceId to, String host, int port, PeerMessage message) {
        Frame frame = authenticator.sign(self, to, PeerCodec.encode(message));
        connection(new InetSocketAddress(host, port)).addListener(connected -> write((ChannelFuture) connected, frame));
    }

    @Override
    public void close() {
        server.close().syncUninterruptibly();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private void write(ChannelFuture connected, Frame frame) {
        Channel channel = connected.channel();
        if (!connected.isSuccess() || !channel.isWritable()) {
            unsentMessages.inc();
            return;
        }
        sentBytes.inc(frame.getSerializedSize() + LENGTH_BYTES);
        channel.writeAndFlush(frame);
    }

    private ChannelFuture connection(InetSocketAddress address) {
        return connections.computeIfAbsent(address, this::connect);
    }

    private ChannelFuture connect(InetSocketAddress address) {
        ChannelFuture connecting = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(pipeline())
                .connect(address);
        connecting.channel().closeFuture().addListener(closed -> connections.remove(address, connecting));
        return connecting;
    }

    private ChannelInitializer<SocketChannel> pipeline() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                ChannelPipeline pipeline = channel.pipeline();
                pipeline.addLast(new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
                pipeline.addLast(new ProtobufDecoder(Frame.getDefaultInstance()));
                pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
                pipeline.addLast(new ProtobufEncoder());
                pipeline.addLast(new InboundHandler());
            }
        };
    }

    /** Authenticates and decodes frames; runs on the event loop thread. */
    private final class InboundHandler extends SimpleChannelInboundHandler<Frame> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, Frame frame) {
            receivedBytes.inc(frame.getSerializedSize() + LENGTH_BYTES);
            if (!authenticator.verify(frame, self)) {
                unauthenticatedFrames.inc();
                context.close();
                return;
            }
            PeerCodec.decode(frame.getPayload().toByteArray())
                    .ifPresentOrElse(
                            message -> messageHandler.accept(new InstanceId(frame.getFrom()), message),
                            malformedFrames::inc);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            malformedFrames.inc();
            context.close();
        }
    }
}
