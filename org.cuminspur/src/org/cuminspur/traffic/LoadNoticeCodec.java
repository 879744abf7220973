package org.cuminspur.traffic;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.cuminspur.id.UpstreamId;

/**
 * Encodes load notices as datagrams; stateless and thread-safe.
 *
 * <p>A datagram is a byte with the version, the upstream's start (8 bytes), its load (2 bytes) and its id in UTF-8, all
 * in network byte order. Datagrams of other versions or lengths are not decoded.
 */
public final class LoadNoticeCodec {
    /** Largest datagram in bytes; it fits one packet of any network. */
    public static final int MAX_BYTES = 512;

    private static final byte VERSION = 1;
    private static final int HEADER_BYTES = Byte.BYTES + Long.BYTES + Short.BYTES;

    private LoadNoticeCodec() {}

    /** Returns whether a datagram that begins with this byte is a load notice. */
    public static boolean isKind(byte first) {
        return first == VERSION;
    }

    /** Returns the datagram of a notice, empty if the upstream's id is too long for one. */
    public static Optional<ByteBuffer> encode(LoadNotice notice) {
        byte[] id = notice.upstream().value().getBytes(StandardCharsets.UTF_8);
        if (HEADER_BYTES + id.length > MAX_BYTES) {
            return Optional.empty();
        }
        return Optional.of(ByteBuffer.allocate(HEADER_BYTES + id.length)
                .put(VERSION)
                .putLong(notice.startedMillis())
                .putShort((short) notice.load())
                .put(id)
                .flip());
    }

    /** Returns the notice in a datagram, empty if it is malformed. */
    public static Optional<LoadNotice> decode(ByteBuffer datagram) {
        if (datagram.remaining() <= HEADER_BYTES || datagram.remaining() > MAX_BYTES || datagram.get() != VERSION) {
            return Optional.empty();
        }
        long startedMillis = datagram.getLong();
        int load = Short.toUnsignedInt(datagram.getShort());
        String id = StandardCharsets.UTF_8.decode(datagram).toString();
        return id.isBlank() ? Optional.empty() : Optional.of(new LoadNotice(new UpstreamId(id), startedMillis, load));
    }
}
