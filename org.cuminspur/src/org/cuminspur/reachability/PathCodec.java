package org.cuminspur.reachability;

import io.vavr.control.Try;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.IntStream;
import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.ServiceId;
import org.cuminspur.traffic.UpstreamProcessId;

/**
 * Encodes messages about paths as datagrams; stateless and thread-safe.
 *
 * <p>A datagram is a byte with the kind and the service. A query goes on with upstreams (8 bytes each), a report with the
 * sender's failure domain, upstreams with an age in milliseconds (4 bytes) each, and instances with their failure domain
 * and an age each. A list begins with its length (1 byte), a text with its length in UTF-8 (2 bytes). All in network byte
 * order; datagrams of other kinds or lengths are not decoded.
 */
public final class PathCodec {
    /** The most upstreams in one message. */
    public static final int MAX_UPSTREAMS = 16;

    /** The most instances in one message. */
    public static final int MAX_INSTANCES = 4;

    /** Largest datagram in bytes; it fits one packet of any network. */
    public static final int MAX_BYTES = 1_200;

    private static final byte QUERY = 20;
    private static final byte REPORT = 21;

    private PathCodec() {}

    /** Returns whether a datagram that begins with this byte is of one of the kinds that this class decodes. */
    public static boolean isKind(byte first) {
        return first == QUERY || first == REPORT;
    }

    /** Returns the datagram of a message, empty if its names are too long for one. */
    public static Optional<ByteBuffer> encode(PathMessage message) {
        ByteBuffer datagram = ByteBuffer.allocate(MAX_BYTES);
        return Try.of(() -> put(datagram, message).flip()).toJavaOptional();
    }

    /** Returns the message in a datagram, empty if it is malformed. */
    public static Optional<PathMessage> decode(ByteBuffer datagram) {
        return Try.of(() -> take(datagram))
                .filter(message -> !datagram.hasRemaining())
                .toJavaOptional();
    }

    private static ByteBuffer put(ByteBuffer datagram, PathMessage message) {
        if (message instanceof PathMessage.Query query) {
            putText(datagram.put(QUERY), query.service().value());
            datagram.put((byte) query.upstreams().size());
            query.upstreams().forEach(upstream -> datagram.putLong(upstream.hash()));
        } else if (message instanceof PathMessage.Report report) {
            putText(datagram.put(REPORT), report.service().value());
            putText(datagram, report.domain().value());
            datagram.put((byte) report.reached().size());
            report.reached()
                    .forEach(reached ->
                            datagram.putLong(reached.upstream().hash()).putInt(age(reached.ageMillis())));
            datagram.put((byte) report.others().size());
            report.others().forEach(other -> {
                putText(datagram, other.instance().value());
                putText(datagram, other.domain().value());
                datagram.putInt(age(other.ageMillis()));
            });
        }
        return datagram;
    }

    private static PathMessage take(ByteBuffer datagram) {
        byte kind = datagram.get();
        if (!isKind(kind)) {
            throw new IllegalArgumentException("kind " + kind);
        }
        ServiceId service = new ServiceId(takeText(datagram));
        if (kind == QUERY) {
            return new PathMessage.Query(service, takeList(datagram, from -> new UpstreamProcessId(from.getLong())));
        }
        FailureDomainId domain = new FailureDomainId(takeText(datagram));
        List<PathMessage.ReachedUpstream> reached = takeList(
                datagram,
                from -> new PathMessage.ReachedUpstream(new UpstreamProcessId(from.getLong()), takeAge(from)));
        List<PathMessage.ReachingInstance> others = takeList(
                datagram,
                from -> new PathMessage.ReachingInstance(
                        new InstanceId(takeText(from)), new FailureDomainId(takeText(from)), takeAge(from)));
        return new PathMessage.Report(service, domain, reached, others);
    }

    private static int age(long millis) {
        return (int) Math.min(Integer.MAX_VALUE, millis);
    }

    private static long takeAge(ByteBuffer datagram) {
        int age = datagram.getInt();
        if (age < 0) {
            throw new IllegalArgumentException("age " + age);
        }
        return age;
    }

    private static <T> List<T> takeList(ByteBuffer datagram, Function<ByteBuffer, T> element) {
        int size = Byte.toUnsignedInt(datagram.get());
        return IntStream.range(0, size).mapToObj(i -> element.apply(datagram)).toList();
    }

    private static void putText(ByteBuffer datagram, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        datagram.putShort((short) bytes.length).put(bytes);
    }

    private static String takeText(ByteBuffer datagram) {
        byte[] bytes = new byte[Short.toUnsignedInt(datagram.getShort())];
        datagram.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
