package org.cuminspur.http.internal.client;

import io.undertow.client.ClientConnection;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cuminspur.http.client.CallFault;
import org.xnio.channels.StreamSourceChannel;

/**
 * Hands the pieces of an answer's body from the input-output thread to the thread that reads them.
 *
 * <p>Thread-safe. Reading pauses while {@link #MAX_WAITING} pieces wait, so a slow caller bounds the memory used.
 */
final class BodyQueue {
    private static final int MAX_WAITING = 16;
    private static final int PIECE_BYTES = 16 * 1_024;
    private static final byte[] END = new byte[0];
    private static final byte[] BROKEN = new byte[0];

    private final ClientConnection connection;
    private final Runnable giveBack;
    private final BlockingQueue<byte[]> pieces = new LinkedBlockingQueue<>();
    private final AtomicBoolean ended = new AtomicBoolean();
    private final AtomicBoolean paused = new AtomicBoolean();
    private volatile boolean complete;
    private StreamSourceChannel channel;

    BodyQueue(ClientConnection connection, Runnable giveBack) {
        this.connection = connection;
        this.giveBack = giveBack;
    }

    /** Starts reading; called on the input-output thread. */
    void start(StreamSourceChannel source) {
        channel = source;
        channel.getReadSetter().set(readable -> read());
        read();
    }

    /** Marks the body as broken unless it has ended. */
    void fail() {
        end(BROKEN);
    }

    /** Returns whether the whole body was received. */
    boolean complete() {
        return complete;
    }

    /** Waits for the next piece; an empty piece is the end. */
    Either<CallFault, byte[]> next(long timeoutMillis) {
        try {
            byte[] piece = pieces.poll(Math.max(1, timeoutMillis), TimeUnit.MILLISECONDS);
            if (piece == null) {
                return Either.left(CallFault.TIMED_OUT);
            }
            resumeIfPaused();
            return result(piece);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Either.left(CallFault.BROKEN);
        }
    }

    private Either<CallFault, byte[]> result(byte[] piece) {
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
        if (pieces.size() < MAX_WAITING / 2 && paused.compareAndSet(true, false)) {
            connection.getIoThread().execute(this::read);
        }
    }

    private void read() {
        ByteBuffer buffer = ByteBuffer.allocate(PIECE_BYTES);
        try {
            while (!ended.get()) {
                if (pieces.size() >= MAX_WAITING) {
                    channel.suspendReads();
                    paused.set(true);
                    return;
                }
                buffer.clear();
                int count = channel.read(buffer);
                if (count == 0) {
                    channel.resumeReads();
                    return;
                }
                take(buffer, count);
            }
        } catch (IOException e) {
            fail();
        }
    }

    private void take(ByteBuffer buffer, int count) {
        if (count < 0) {
            complete = true;
            giveBack.run();
            end(END);
            return;
        }
        byte[] piece = new byte[count];
        buffer.flip().get(piece);
        pieces.add(piece);
    }

    private void end(byte[] mark) {
        if (ended.compareAndSet(false, true)) {
            pieces.add(mark);
        }
    }
}
