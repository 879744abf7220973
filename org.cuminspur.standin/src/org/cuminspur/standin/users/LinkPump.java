package org.cuminspur.standin.users;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Passes the bytes of one direction of a connection on, and holds them back while a link is cut; used by one thread.
 *
 * <p>What was held back arrives when the link is whole again, also after an end in order, as the kernels' retransmissions bring
 * it about. If its sender resets the connection, it is lost; the reset is lost in the cut, so the receiver is not told.
 */
public final class LinkPump implements Runnable {
    private static final int BUFFER_BYTES = 16 * 1_024;
    private static final int POLL_MS = 5;

    /** Bytes of one connection that a cut link takes; the rest stays with the sender, as a window bounds it. */
    private static final int MAX_HELD_BYTES = 64 * 1_024;

    private final Socket from;
    private final Socket to;
    private final BooleanSupplier holding;
    private final Set<Socket> open;
    private final ByteArrayOutputStream held = new ByteArrayOutputStream();

    /**
     * Creates a pump without starting it.
     *
     * @param holding returns whether the link is cut; called on the pump's thread
     * @param open the open sockets of the link, from which this pump removes those that it closes
     */
    public LinkPump(Socket from, Socket to, BooleanSupplier holding, Set<Socket> open) {
        this.from = from;
        this.to = to;
        this.holding = holding;
        this.open = open;
    }

    @Override
    public void run() {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = 0; count >= 0; count = read(in, buffer)) {
                held.write(buffer, 0, count);
                // What was held back is passed on only once its sender's kernel has nothing left, a reset included.
                if (!holding.getAsBoolean() && (count == 0 || count == held.size())) {
                    held.writeTo(out);
                    out.flush();
                    held.reset();
                }
            }
            while (holding.getAsBoolean()) {
                sleep();
            }
            held.writeTo(out);
            close(to);
            close(from);
        } catch (IOException e) {
            reset(from);
            if (!holding.getAsBoolean() && held.size() == 0) {
                reset(to);
            }
        }
    }

    /** Reads what has arrived; returns 0 if bytes are held back and no more have arrived for a moment. */
    private int read(InputStream in, byte[] buffer) throws IOException {
        if (held.size() >= MAX_HELD_BYTES && holding.getAsBoolean()) {
            sleep();
            return 0;
        }
        try {
            from.setSoTimeout(held.size() > 0 ? POLL_MS : 0);
            return in.read(buffer);
        } catch (SocketTimeoutException e) {
            // Bytes that are held back may have to be passed on now.
            return 0;
        }
    }

    private void close(Socket socket) throws IOException {
        socket.close();
        open.remove(socket);
    }

    private void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            close(socket);
        } catch (IOException e) {
            // It is closed already, which is all that is wanted.
            open.remove(socket);
        }
    }

    private static void sleep() {
        try {
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
