package org.cuminspur.rollout;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

/**
 * Encodes messages about roll-outs as datagrams; stateless and thread-safe.
 *
 * <p>A datagram is a byte with the kind and the roll-out's id (8 bytes). A report adds start (8), number (4), whether work
 * is released (1), bits of bad upstreams (8), and for each route its hash (8) and four counts (4 each). All in network
 * byte order; datagrams of other kinds or lengths are not decoded.
 */
public final class RolloutCodec {
    /** Routes in one report; those with the most answers of the target count. */
    static final int MAX_ROUTES = 30;

    private static final int HEADER_BYTES = Byte.BYTES + Long.BYTES;
    private static final int REPORT_BYTES = Long.BYTES + Integer.BYTES + Byte.BYTES + Long.BYTES;
    private static final int ROUTE_BYTES = Long.BYTES + 4 * Integer.BYTES;

    /** Largest datagram in bytes; it fits one packet of any network. */
    public static final int MAX_BYTES = HEADER_BYTES + REPORT_BYTES + MAX_ROUTES * ROUTE_BYTES;

    private static final byte REPORT = 24;
    private static final byte STOP = 25;
    private static final byte CHANGED = 26;

    private RolloutCodec() {}

    /** Returns whether a datagram that begins with this byte is of one of the kinds that this class decodes. */
    public static boolean isKind(byte first) {
        return first >= REPORT && first <= CHANGED;
    }

    /** Returns the datagram of a message. */
    public static ByteBuffer encode(RolloutMessage message) {
        ByteBuffer datagram = ByteBuffer.allocate(MAX_BYTES);
        if (message instanceof RolloutMessage.Report report) {
            datagram.put(REPORT).putLong(report.rollout()).putLong(report.start());
            datagram.putInt(report.number()).put((byte) (report.released() ? 1 : 0));
            datagram.putLong(report.badUpstreams());
            report.routes().forEach(route -> put(datagram, route));
        } else {
            datagram.put(message instanceof RolloutMessage.Stop ? STOP : CHANGED)
                    .putLong(message.rollout());
        }
        return datagram.flip();
    }

    private static void put(ByteBuffer datagram, RouteCounts counts) {
        datagram.putLong(counts.route());
        put(datagram, counts.serving());
        put(datagram, counts.target());
    }

    private static void put(ByteBuffer datagram, VersionCounts counts) {
        datagram.putInt(counts.answers()).putInt(counts.bad());
    }

    /** Returns the message in a datagram, empty if it is malformed. */
    public static Optional<RolloutMessage> decode(ByteBuffer datagram) {
        if (datagram.remaining() < HEADER_BYTES || datagram.remaining() > MAX_BYTES) {
            return Optional.empty();
        }
        byte kind = datagram.get();
        long rollout = datagram.getLong();
        return switch (kind) {
            case REPORT -> decodeReport(rollout, datagram);
            case STOP -> last(datagram, new RolloutMessage.Stop(rollout));
            case CHANGED -> last(datagram, new RolloutMessage.Changed(rollout));
            default -> Optional.empty();
        };
    }

    private static Optional<RolloutMessage> decodeReport(long rollout, ByteBuffer datagram) {
        int routeBytes = datagram.remaining() - REPORT_BYTES;
        if (routeBytes < 0 || routeBytes % ROUTE_BYTES != 0) {
            return Optional.empty();
        }
        long start = datagram.getLong();
        int number = datagram.getInt();
        byte released = datagram.get();
        long badUpstreams = datagram.getLong();
        List<RouteCounts> routes = IntStream.range(0, routeBytes / ROUTE_BYTES)
                .mapToObj(i -> new RouteCounts(datagram.getLong(), counts(datagram), counts(datagram)))
                .toList();
        boolean valid = number >= 0
                && (released == 0 || released == 1)
                && routes.stream().allMatch(route -> isValid(route.serving()) && isValid(route.target()));
        return valid
                ? Optional.of(new RolloutMessage.Report(rollout, start, number, released == 1, badUpstreams, routes))
                : Optional.empty();
    }

    private static VersionCounts counts(ByteBuffer datagram) {
        return new VersionCounts(datagram.getInt(), datagram.getInt());
    }

    private static boolean isValid(VersionCounts counts) {
        return counts.bad() >= 0 && counts.bad() <= counts.answers();
    }

    /** Returns a message if no byte is left in its datagram. */
    private static Optional<RolloutMessage> last(ByteBuffer datagram, RolloutMessage message) {
        return datagram.hasRemaining() ? Optional.empty() : Optional.of(message);
    }
}
