package org.cuminspur.ratelimit;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.cuminspur.traffic.UpstreamProcessId;

/**
 * Encodes messages about the limits of upstreams as datagrams; stateless and thread-safe.
 *
 * <p>A datagram is a byte with the kind. Limits follow as upstream (8 bytes), limit (4 bytes, floating point, negative if
 * none is named) and age in milliseconds (4 bytes) each; a query as number (4 bytes), upstream, limit and whether it is
 * bound (1 byte); a reply as number, whether it is granted (1 byte) and wait in milliseconds (4 bytes). All in network
 * byte order; datagrams of other kinds or lengths, or with limits that are none, are not decoded.
 */
public final class PermitCodec {
    /** The most limits in one message. */
    public static final int MAX_LIMITS = 31;

    private static final int LIMIT_BYTES = Long.BYTES + Float.BYTES + Integer.BYTES;

    /** Largest datagram in bytes. */
    public static final int MAX_BYTES = Byte.BYTES + MAX_LIMITS * LIMIT_BYTES;

    private static final byte LIMITS = 8;
    private static final byte QUERY = 9;
    private static final byte REPLY = 10;
    private static final int QUERY_BYTES = Integer.BYTES + Long.BYTES + Float.BYTES + Byte.BYTES;
    private static final int REPLY_BYTES = Integer.BYTES + Byte.BYTES + Integer.BYTES;
    private static final float NOT_NAMED = -1;

    private PermitCodec() {}

    /** Returns whether a datagram that begins with this byte is of one of the kinds that this class decodes. */
    public static boolean isKind(byte first) {
        return first >= LIMITS && first <= REPLY;
    }

    /**
     * Returns the datagram of a message.
     *
     * @throws IllegalArgumentException if it has more than {@link #MAX_LIMITS} limits
     */
    public static ByteBuffer encode(PermitMessage message) {
        ByteBuffer datagram = ByteBuffer.allocate(MAX_BYTES);
        if (message instanceof PermitMessage.Limits limits) {
            if (limits.limits().size() > MAX_LIMITS) {
                throw new IllegalArgumentException(
                        "too many limits: " + limits.limits().size());
            }
            datagram.put(LIMITS);
            limits.limits()
                    .forEach(limit -> datagram.putLong(limit.upstream().hash())
                            .putFloat(limit.named() ? (float) limit.requestsPerSecond() : NOT_NAMED)
                            .putInt((int) Math.min(Integer.MAX_VALUE, limit.ageMillis())));
        } else if (message instanceof PermitMessage.Query query) {
            datagram.put(QUERY)
                    .putInt(query.number())
                    .putLong(query.upstream().hash())
                    .putFloat((float) query.requestsPerSecond())
                    .put((byte) (query.bound() ? 1 : 0));
        } else if (message instanceof PermitMessage.Reply reply) {
            datagram.put(REPLY)
                    .putInt(reply.number())
                    .put((byte) (reply.granted() ? 1 : 0))
                    .putInt(reply.waitMillis());
        }
        return datagram.flip();
    }

    /** Returns the message in a datagram, empty if it is malformed. */
    public static Optional<PermitMessage> decode(ByteBuffer datagram) {
        if (!datagram.hasRemaining()) {
            return Optional.empty();
        }
        byte kind = datagram.get();
        int left = datagram.remaining();
        return switch (kind) {
            case LIMITS -> left > 0 && left % LIMIT_BYTES == 0 ? decodeLimits(datagram) : Optional.empty();
            case QUERY -> left == QUERY_BYTES ? decodeQuery(datagram) : Optional.empty();
            case REPLY ->
                left == REPLY_BYTES
                        ? Optional.of(new PermitMessage.Reply(
                                datagram.getInt(), datagram.get() == 1, Math.max(0, datagram.getInt())))
                        : Optional.empty();
            default -> Optional.empty();
        };
    }

    private static Optional<PermitMessage> decodeLimits(ByteBuffer datagram) {
        List<LimitFact> limits = IntStream.range(0, datagram.remaining() / LIMIT_BYTES)
                .mapToObj(i -> {
                    UpstreamProcessId upstream = new UpstreamProcessId(datagram.getLong());
                    float rate = datagram.getFloat();
                    boolean named = rate != NOT_NAMED;
                    return new LimitFact(upstream, named, named ? rate : 0, datagram.getInt());
                })
                .toList();
        boolean valid = limits.stream().allMatch(limit -> isRate(limit.requestsPerSecond()) && limit.ageMillis() >= 0);
        return valid ? Optional.of(new PermitMessage.Limits(limits)) : Optional.empty();
    }

    private static Optional<PermitMessage> decodeQuery(ByteBuffer datagram) {
        PermitMessage.Query query = new PermitMessage.Query(
                datagram.getInt(), new UpstreamProcessId(datagram.getLong()), datagram.getFloat(), datagram.get() == 1);
        return isRate(query.requestsPerSecond()) ? Optional.of(query) : Optional.empty();
    }

    private static boolean isRate(double requestsPerSecond) {
        return NamedLimit.of(requestsPerSecond).isValid();
    }
}
