package org.cuminspur.router.internal.traffic;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.cuminspur.time.Clock;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Notices that a caller has read nothing of its response for too long; used on the connection's I/O thread.
 *
 * <p>A request's deadline ends only responses that upstreams have not completed yet.
 */
final class UnreadResponseTimer {
    private final XnioIoThread thread;
    private final Clock clock;
    private final LongSupplier limitMillis;
    private final Runnable onUnread;
    private XnioExecutor.Key check;
    private long progressMillis;

    /**
     * Creates a timer that does not run.
     *
     * @param limitMillis returns the longest time without progress
     * @param onUnread called once it has passed
     */
    UnreadResponseTimer(XnioIoThread thread, Clock clock, LongSupplier limitMillis, Runnable onUnread) {
        this.thread = thread;
        this.clock = clock;
        this.limitMillis = limitMillis;
        this.onUnread = onUnread;
    }

    /** Records that bytes wait for the caller. */
    void waiting() {
        if (check == null) {
            progressMillis = clock.millis();
            schedule(limitMillis.getAsLong());
        }
    }

    /** Records that the connection took bytes. */
    void progressed() {
        progressMillis = clock.millis();
    }

    /** Records that no bytes wait. */
    void stop() {
        if (check != null) {
            check.remove();
            check = null;
        }
    }

    private void schedule(long delayMillis) {
        check = thread.executeAfter(this::check, Math.max(1, delayMillis), TimeUnit.MILLISECONDS);
    }

    private void check() {
        check = null;
        long leftMillis = progressMillis + limitMillis.getAsLong() - clock.millis();
        if (leftMillis > 0) {
            schedule(leftMillis);
        } else {
            onUnread.run();
        }
    }
}
