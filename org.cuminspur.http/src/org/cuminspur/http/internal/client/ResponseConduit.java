package org.cuminspur.http.internal.client;

import io.undertow.util.AttachmentKey;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.util.concurrent.TimeUnit;
import org.cuminspur.http.client.InvalidResponseException;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitReadableByteChannel;
import org.xnio.conduits.Conduits;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Passes only valid responses to the client library, where bytes enter the process.
 *
 * <p>Used on the connection's I/O thread. A head is held back until it is complete and passed on in one form, without the heads
 * of interim responses. Reading fails with {@link InvalidResponseException} once a response is invalid; what came of its body
 * before is passed on first, unless its head came in the same read, so that nothing of the response is known yet.
 * Bytes that belong to no response are passed on as they are; the library closes a connection that brings them.
 */
public final class ResponseConduit extends AbstractStreamSourceConduit<StreamSourceConduit> {
    /** Attachment of a connection that holds its conduit. */
    public static final AttachmentKey<ResponseConduit> KEY = AttachmentKey.create(ResponseConduit.class);

    private static final ByteBuffer EMPTY = ByteBuffer.allocate(0);

    /** Head that is awaited, null if none is. */
    private ResponseHeadParser head;

    /** Chunked body in progress, null if there is none. */
    private ChunkedBody body;

    private ByteBuffer checked = EMPTY;

    /** What made the response invalid, null if nothing did. */
    private InvalidResponseException fault;

    public ResponseConduit(StreamSourceConduit next) {
        super(next);
    }

    /**
     * Expects the response to a request that is about to be sent.
     *
     * @param headRequest whether the request asks for a head only
     */
    public void expectResponse(boolean headRequest) {
        if (checked.hasRemaining()) {
            fault = new InvalidResponseException("bytes behind the response before");
        }
        head = new ResponseHeadParser(headRequest);
        body = null;
    }

    @Override
    public int read(ByteBuffer target) throws IOException {
        if (fault != null) {
            throw fault;
        }
        if (!target.hasRemaining()) {
            return 0;
        }
        if (checked.hasRemaining()) {
            return transferChecked(target);
        }
        try {
            return head != null ? readHead(target) : readBody(target);
        } catch (InvalidResponseException e) {
            fault = e;
            throw e;
        }
    }

    private int readBody(ByteBuffer target) throws IOException {
        int start = target.position();
        int count = next.read(target);
        if (count <= 0) {
            return count;
        }
        ByteBuffer bytes = received(target, start);
        try {
            follow(bytes);
        } catch (InvalidResponseException e) {
            if (bytes.position() == start) {
                throw e;
            }
            fault = e;
            target.position(bytes.position());
        }
        return target.position() - start;
    }

    /** Reads until the head is complete, and passes on as much of it as there is room for. */
    private int readHead(ByteBuffer target) throws IOException {
        int start = target.position();
        while (true) {
            int count = next.read(target);
            if (count < 0 && head.insideHead()) {
                throw new InvalidResponseException("the connection ended inside the head of a response");
            }
            if (count <= 0) {
                return count;
            }
            ByteBuffer bytes = received(target, start);
            target.position(start);
            if (head.read(bytes)) {
                endHead(bytes);
                return transferChecked(target);
            }
        }
    }

    /** Takes the complete head, and the bytes that came behind it. */
    private void endHead(ByteBuffer behind) throws InvalidResponseException {
        byte[] text = head.head();
        body = head.chunkedBodyFollows() ? new ChunkedBody() : null;
        head = null;
        follow(behind.duplicate());
        checked = ByteBuffer.allocate(text.length + behind.remaining())
                .put(text)
                .put(behind)
                .flip();
    }

    private static ByteBuffer received(ByteBuffer buffer, int start) {
        return buffer.duplicate().limit(buffer.position()).position(start);
    }

    private void follow(ByteBuffer bytes) throws InvalidResponseException {
        if (body != null && body.read(bytes)) {
            body = null;
        }
    }

    private int transferChecked(ByteBuffer target) {
        int count = Math.min(checked.remaining(), target.remaining());
        ByteBuffer part = checked.duplicate().limit(checked.position() + count);
        target.put(part);
        checked.position(part.position());
        if (!checked.hasRemaining()) {
            checked = EMPTY;
        }
        return count;
    }

    @Override
    public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
        for (int i = offset; i < offset + length; i++) {
            if (targets[i].hasRemaining()) {
                return read(targets[i]);
            }
        }
        return 0;
    }

    @Override
    public long transferTo(long position, long count, FileChannel target) throws IOException {
        return target.transferFrom(new ConduitReadableByteChannel(this), position, count);
    }

    @Override
    public long transferTo(long count, ByteBuffer throughBuffer, StreamSinkChannel target) throws IOException {
        return Conduits.transfer(this, count, throughBuffer, target);
    }

    /** Calls the reader also if no byte comes from the network, as long as it has something to learn. */
    @Override
    public void resumeReads() {
        if (checked.hasRemaining() || fault != null) {
            next.wakeupReads();
        } else {
            next.resumeReads();
        }
    }

    @Override
    public void awaitReadable() throws IOException {
        if (!checked.hasRemaining() && fault == null) {
            next.awaitReadable();
        }
    }

    @Override
    public void awaitReadable(long time, TimeUnit timeUnit) throws IOException {
        if (!checked.hasRemaining() && fault == null) {
            next.awaitReadable(time, timeUnit);
        }
    }

    @Override
    public void terminateReads() throws IOException {
        checked = EMPTY;
        next.terminateReads();
    }
}
