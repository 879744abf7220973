package org.cuminspur.router.internal.traffic;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.cuminspur.event.FaultBarrier;
import org.xnio.XnioIoThread;

/**
 * Ends the traffic of an instance without cutting a request; used once, on any thread but the traffic thread.
 *
 * <p>Callers may send until the process is gone. So the ports are closed before the end, what comes on open connections is
 * refused as not run, and what is still unanswered then is answered: not run, or unknown.
 */
final class PlannedStop {
    /** Interval between closings of idle connections of callers. */
    private static final long TICK_MS = 20;

    /** Time in which the load balancer notices an unready instance: two checks at one per second. */
    private static final long UNREADY_NOTICE_MS = 2_600;

    /** Time without requests before the exit; one that crosses the closing of its connection arrives within some round trips. */
    private static final long IDLE_BEFORE_EXIT_MS = 400;

    /** Part of the grace time that is left for the last answers and for the process to exit. */
    private static final long EXIT_MARGIN_MS = 500;

    /** Time for the answers to requests that are still unanswered at the end. */
    private static final long LAST_ANSWERS_MS = 250;

    /** Time without requests before the exit once the ports are closed. */
    private static final long LAST_IDLE_MS = 40;

    /** Longest time to close idle connections before the exit. */
    private static final long MAX_CLOSE_MS = 100;

    private final TrafficContext context;
    private final XnioIoThread thread;
    private final FaultBarrier barrier;
    private final Runnable closePorts;

    /**
     * Creates a stop that has not begun.
     *
     * @param closePorts takes no connection any more; called on the traffic thread
     */
    PlannedStop(TrafficContext context, XnioIoThread thread, FaultBarrier barrier, Runnable closePorts) {
        this.context = context;
        this.thread = thread;
        this.barrier = barrier;
        this.closePorts = closePorts;
    }

    /** Blocks until all responses have been written or time is up; returns how many remain. */
    int run() {
        long startMillis = context.clock().millis();
        long endMillis = startMillis + context.bounds().shutdownGraceMillis() - EXIT_MARGIN_MS;
        context.stop().stop(startMillis + UNREADY_NOTICE_MS, endMillis);
        try {
            TimeUnit.MILLISECONDS.sleep(UNREADY_NOTICE_MS);
            thread.execute(this::closeIdleCallers);
            awaitIdle(endMillis, IDLE_BEFORE_EXIT_MS);
            thread.execute(this::refuseRequests);
            awaitIdle(endMillis, LAST_IDLE_MS);
            thread.execute(() -> context.stop().remaining().forEach(barrier::run));
            int cut = awaitIdle(endMillis + LAST_ANSWERS_MS, LAST_IDLE_MS);
            closeIdleUpstreams();
            return cut;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 0;
        }
    }

    private int awaitIdle(long untilMillis, long idleMillis) throws InterruptedException {
        long leftMillis = untilMillis - context.clock().millis();
        return context.stop()
                .awaitIdle(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Math.max(0, leftMillis)), idleMillis);
    }

    /** Takes no connection and no request any more; a refusal closes the connection that a request came on. */
    private void refuseRequests() {
        context.stop().close();
        closePorts.run();
        context.callers().closeIdle();
    }

    /** Closes connections of callers as they fall idle, so that their next requests go to other instances. */
    private void closeIdleCallers() {
        thread.executeAfter(this::closeIdleCallers, TICK_MS, TimeUnit.MILLISECONDS);
        context.callers().closeIdle();
    }

    /** Closes idle connections to upstreams in order; those with a request are reset as the process ends. */
    private void closeIdleUpstreams() throws InterruptedException {
        CountDownLatch closed = new CountDownLatch(1);
        // A channel is closed at the end of the event-loop turn, so the next turn is waited for.
        thread.execute(() -> {
            context.connections().closeAll();
            thread.executeAfter(closed::countDown, 1, TimeUnit.MILLISECONDS);
        });
        closed.await(MAX_CLOSE_MS, TimeUnit.MILLISECONDS);
    }
}
