package org.cuminspur.http.internal.client;

import io.undertow.client.ClientConnection;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.cuminspur.http.client.CallFault;
import org.cuminspur.http.client.ClientConnections;
import org.xnio.channels.StreamSourceChannel;

/**
 * Passes the pieces of a response's body from the I/O thread to the thread that reads them.
 *
 * <p>Thread-safe. Reading from the connection pauses while {@link #MAX_QUEUED} pieces are queued, which bounds the memory
 * that a slow reader takes.
 */
final class BodyQueue {
    private static final int MAX_QUEUED = 16;
    private static final int PIECE_BYTES = 16 * 1_024;
    private static final byte[] END = new byte[0];
    private static final byte[] BROKEN = new byte[0];

    private final ClientConnection connection;
    private final Runnable completed;
    private final Consumer<IOException> failed;
    private final BlockingQueue<byte[]> pieces = new LinkedBlockingQueue<>();
    private final AtomicBoolean ended = new AtomicBoolean();
    private final AtomicBoolean paused = new AtomicBoolean();
    private StreamSourceChannel channel;
    private boolean endIsMarked;

    /**
     * Makes a queue.
     *
     * @param completed runs on the I/O thread once the whole body was received
     * @param failed receives on the I/O thread why the body cannot be read, and calls {@link #fail}
     */
    BodyQueue(ClientConnection connection, Runnable completed, Consumer<IOException> failed) {
        this.connection = connection;
        this.completed = completed;
        this.failed = failed;
    }

    /**
     * Starts reading; called on the I/O thread.
     *
     * @param endIsMarked whether the end of the body is distinguishable from a broken connection
     */
    void start(StreamSourceChannel source, boolean endIsMarked) {
        channel = source;
        this.endIsMarked = endIsMarked;
        channel.getReadSetter().set(readable -> read());
        read();
    }

    /** Ends a body that has no bytes; called on the I/O thread. */
    void endEmpty() {
        end(END);
    }

    /** Ends the body as broken unless it has ended. */
    void fail() {
        end(BROKEN);
    }

    /** Waits for the next piece; an empty piece is the end. */
    Either<CallFault, byte[]> next(long timeoutMillis) {
        try {
            byte[] piece = pieces.poll(Math.max(1, timeoutMillis), TimeUnit.MILLISECONDS);
            if (piece == null) {
                return Either.left(CallFault.TIMED_OUT);
            }
            resumeIfPaused();
            return toResult(piece);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Either.left(CallFault.BROKEN);
        }
    }

    private Either<CallFault, byte[]> toResult(byte[] piece) {
        if (piece == BROKEN) {
            pieces.add(BROKEN);
            return Either.left(CallFault.BROKEN);
        }
        if (piece == END) {
            pieces.add(END);
        }
        return Either.right(piece);
    }

    private void resumeIfPaused() {
        if (pieces.size() < MAX_QUEUED / 2 && paused.compareAndSet(true, false)) {
            connection.getIoThread().execute(this::read);
        }
    }

    private void read() {
        ByteBuffer buffer = ByteBuffer.allocate(PIECE_BYTES);
        try {
            while (!ended.get()) {
                if (pieces.size() >= MAX_QUEUED && pause()) {
                    return;
                }
                buffer.clear();
                int count = channel.read(buffer);
                if (count == 0) {
                    channel.resumeReads();
                    return;
                }
                ClientConnections.progressed(connection);
                enqueue(buffer, count);
            }
        } catch (IOException e) {
            failed.accept(e);
        }
    }

    /** Returns whether reading pauses; checks again after setting the flag, as the reader may have drained the queue. */
    private boolean pause() {
        channel.suspendReads();
        paused.set(true);
        return pieces.size() >= MAX_QUEUED / 2 || !paused.compareAndSet(true, false);
    }

    private void enqueue(ByteBuffer buffer, int count) {
        if (count < 0) {
            if (end(endIsMarked ? END : BROKEN)) {
                completed.run();
            }
            return;
        }
        byte[] piece = new byte[count];
        buffer.flip().get(piece);
        pieces.add(piece);
    }

    private boolean end(byte[] terminator) {
        boolean first = ended.compareAndSet(false, true);
        if (first) {
            pieces.add(terminator);
        }
        return first;
    }
}
