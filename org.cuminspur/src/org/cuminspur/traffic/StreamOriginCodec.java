package org.cuminspur.traffic;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.cuminspur.id.ServiceId;
import org.cuminspur.id.SoftwareVersion;
import org.cuminspur.id.StreamId;

/**
 * Encodes messages about the origins of streams as datagrams; stateless and thread-safe.
 *
 * <p>A datagram is a byte with the kind and the stream's hash (8 bytes). A known origin adds the retention in
 * milliseconds (4 bytes), then service and version, each as a length (1 byte) and UTF-8. All in network byte order;
 * datagrams of other kinds or lengths are not decoded.
 */
public final class StreamOriginCodec {
    /** Largest datagram in bytes; it fits one packet of any network. */
    public static final int MAX_BYTES = 512;

    private static final byte KNOWN = 2;
    private static final byte QUERY = 3;
    private static final byte UNKNOWN = 4;
    private static final int HEADER_BYTES = Byte.BYTES + Long.BYTES;
    private static final int MAX_TEXT_BYTES = 200;

    private StreamOriginCodec() {}

    /** Returns whether a datagram that begins with this byte is of one of the kinds that this class decodes. */
    public static boolean isKind(byte first) {
        return first >= KNOWN && first <= UNKNOWN;
    }

    /** Returns the datagram of a message, empty if a name in it is too long for one. */
    public static Optional<ByteBuffer> encode(StreamOriginMessage message) {
        ByteBuffer datagram = ByteBuffer.allocate(MAX_BYTES);
        if (message instanceof StreamOriginMessage.Known known) {
            byte[] service = known.origin().service().value().getBytes(StandardCharsets.UTF_8);
            byte[] version = known.origin().version().value().getBytes(StandardCharsets.UTF_8);
            if (service.length > MAX_TEXT_BYTES || version.length > MAX_TEXT_BYTES) {
                return Optional.empty();
            }
            datagram.put(KNOWN).putLong(known.stream().hash());
            datagram.putInt((int) Math.min(Integer.MAX_VALUE, known.retentionMillis()));
            datagram.put((byte) service.length).put(service);
            datagram.put((byte) version.length).put(version);
        } else {
            byte kind = message instanceof StreamOriginMessage.Query ? QUERY : UNKNOWN;
            datagram.put(kind).putLong(message.stream().hash());
        }
        return Optional.of(datagram.flip());
    }

    /** Returns the message in a datagram, empty if it is malformed. */
    public static Optional<StreamOriginMessage> decode(ByteBuffer datagram) {
        if (datagram.remaining() < HEADER_BYTES) {
            return Optional.empty();
        }
        byte kind = datagram.get();
        StreamId stream = new StreamId(datagram.getLong());
        return switch (kind) {
            case KNOWN -> decodeKnown(stream, datagram);
            case QUERY -> last(datagram, new StreamOriginMessage.Query(stream));
            case UNKNOWN -> last(datagram, new StreamOriginMessage.Unknown(stream));
            default -> Optional.empty();
        };
    }

    private static Optional<StreamOriginMessage> decodeKnown(StreamId stream, ByteBuffer datagram) {
        if (datagram.remaining() < Integer.BYTES) {
            return Optional.empty();
        }
        int retentionMillis = datagram.getInt();
        Optional<String> service = decodeText(datagram);
        Optional<String> version = decodeText(datagram);
        if (retentionMillis < 0 || service.isEmpty() || version.isEmpty()) {
            return Optional.empty();
        }
        StreamOrigin origin = new StreamOrigin(new ServiceId(service.get()), new SoftwareVersion(version.get()));
        return last(datagram, new StreamOriginMessage.Known(stream, origin, retentionMillis));
    }

    /** Returns a message if no byte is left in its datagram. */
    private static Optional<StreamOriginMessage> last(ByteBuffer datagram, StreamOriginMessage message) {
        return datagram.hasRemaining() ? Optional.empty() : Optional.of(message);
    }

    private static Optional<String> decodeText(ByteBuffer datagram) {
        int length = datagram.hasRemaining() ? Byte.toUnsignedInt(datagram.get()) : 0;
        if (length == 0 || length > datagram.remaining()) {
            return Optional.empty();
        }
        byte[] bytes = new byte[length];
        datagram.get(bytes);
        String text = new String(bytes, StandardCharsets.UTF_8);
        return text.isBlank() ? Optional.empty() : Optional.of(text);
    }
}
