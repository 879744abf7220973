package org.cuminspur.routing;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts one router's work at one upstream and holds the upstream's newest report.
 *
 * <p>Thread-safe: traffic threads write, the control thread reads. It outlives snapshots.
 */
public final class UpstreamGauge {
    /** A report with when it came and how much this router had in progress then; immutable. */
    public record Reported(LoadReport report, long receivedMillis, int ownInProgress) {}

    private final AtomicInteger inProgress = new AtomicInteger();
    private final LongAdder started = new LongAdder();
    private final LongAdder failed = new LongAdder();
    private final LongAdder probesDropped = new LongAdder();
    private final AtomicInteger failuresInRow = new AtomicInteger();
    private volatile Reported reported;

    /** Starts a request unless {@code limit} are in progress; returns whether it was started. */
    public boolean tryStart(int limit) {
        int now = inProgress.get();
        while (now < limit) {
            if (inProgress.compareAndSet(now, now + 1)) {
                started.increment();
                return true;
            }
            now = inProgress.get();
        }
        return false;
    }

    /** Ends a request that was started. */
    public void end(boolean succeeded) {
        inProgress.decrementAndGet();
        if (succeeded) {
            if (failuresInRow.get() != 0) {
                failuresInRow.set(0);
            }
        } else {
            failed.increment();
            failuresInRow.incrementAndGet();
        }
    }

    /** Takes a report from the upstream, which proves that the upstream answers. */
    public void report(LoadReport report, long nowMillis) {
        reported = new Reported(report, nowMillis, inProgress.get());
        answered();
    }

    /** Notes that the upstream answers. */
    public void answered() {
        failuresInRow.set(0);
    }

    /** Counts a probe that was not sent because too many were waiting. */
    public void probeDropped() {
        probesDropped.increment();
    }

    /** Returns how many probes were not sent. */
    public long probesDropped() {
        return probesDropped.sum();
    }

    /** Returns how many requests have failed since the upstream last answered. */
    public int failuresInRow() {
        return failuresInRow.get();
    }

    /** Returns this router's requests in progress. */
    public int inProgress() {
        return inProgress.get();
    }

    /** Returns how many requests this router has started. */
    public long started() {
        return started.sum();
    }

    /** Returns how many requests of this router have failed at the upstream. */
    public long failed() {
        return failed.sum();
    }

    /** Returns the newest report, or null if there was none. */
    public Reported reported() {
        return reported;
    }
}
