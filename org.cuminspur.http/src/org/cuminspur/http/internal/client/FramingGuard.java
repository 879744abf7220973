package org.cuminspur.http.internal.client;

import io.undertow.util.AttachmentKey;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Bounds what is read of a response without a byte of its body, where bytes enter the process.
 *
 * <p>Used on the connection's I/O thread. The client library keeps a header line and trailers until their end, and skips the
 * extensions of a chunk for as long as they come; a faulty process may never end them. Reading fails once {@link #MAX_BYTES}
 * have come since the request was sent, or since the last part of the body.
 */
public final class FramingGuard extends AbstractStreamSourceConduit<StreamSourceConduit> {
    /** Largest head of a response, with what is read of the body in the same piece. */
    public static final int MAX_BYTES = 64 * 1_024;

    /** Attachment of a connection that holds its guard. */
    public static final AttachmentKey<FramingGuard> KEY = AttachmentKey.create(FramingGuard.class);

    private int bytesWithoutBody;

    FramingGuard(StreamSourceConduit next) {
        super(next);
    }

    /** Counts anew: a request is sent, its response's head has come, or a part of the body. */
    public void progressed() {
        bytesWithoutBody = 0;
    }

    @Override
    public int read(ByteBuffer target) throws IOException {
        return (int) count(next.read(target));
    }

    @Override
    public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
        return count(next.read(targets, offset, length));
    }

    @Override
    public long transferTo(long position, long count, FileChannel target) throws IOException {
        return count(next.transferTo(position, count, target));
    }

    @Override
    public long transferTo(long count, ByteBuffer throughBuffer, StreamSinkChannel target) throws IOException {
        return count(next.transferTo(count, throughBuffer, target));
    }

    private long count(long bytes) throws IOException {
        if (bytes > 0) {
            bytesWithoutBody += (int) bytes;
            if (bytesWithoutBody > MAX_BYTES) {
                throw new IOException("a response has over " + MAX_BYTES + " bytes without a byte of its body");
            }
        }
        return bytes;
    }
}
