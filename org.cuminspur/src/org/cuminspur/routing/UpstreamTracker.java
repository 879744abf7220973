package org.cuminspur.routing;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts one router's requests at one upstream and keeps the upstream's latest load report.
 *
 * <p>Thread-safe: traffic threads write, the control thread reads. A tracker outlives routing snapshots.
 */
public final class UpstreamTracker {
    /** A report, with its time of receipt and this router's requests in progress then; immutable. */
    public record ReceivedReport(LoadReport report, long receivedMillis, int ownInProgress) {}

    private final AtomicInteger inProgress = new AtomicInteger();
    private final LongAdder startedCount = new LongAdder();
    private final LongAdder failedCount = new LongAdder();
    private final LongAdder droppedProbes = new LongAdder();
    private final AtomicInteger consecutiveFailures = new AtomicInteger();
    private volatile ReceivedReport latestReport;

    /** Starts a request unless {@code limit} are in progress; returns whether it was started. */
    public boolean tryStart(int limit) {
        int current = inProgress.get();
        while (current < limit) {
            if (inProgress.compareAndSet(current, current + 1)) {
                startedCount.increment();
                return true;
            }
            current = inProgress.get();
        }
        return false;
    }

    /** Ends a request that was started. */
    public void end(boolean succeeded) {
        inProgress.decrementAndGet();
        if (succeeded) {
            if (consecutiveFailures.get() != 0) {
                consecutiveFailures.set(0);
            }
        } else {
            failedCount.increment();
            consecutiveFailures.incrementAndGet();
        }
    }

    /** Records a report, which proves that the upstream answers. */
    public void recordReport(LoadReport report, long nowMillis) {
        latestReport = new ReceivedReport(report, nowMillis, inProgress.get());
        recordAnswer();
    }

    /** Resets the consecutive failures, as the upstream has answered. */
    public void recordAnswer() {
        consecutiveFailures.set(0);
    }

    /** Counts a probe that was not sent because too many were waiting. */
    public void recordDroppedProbe() {
        droppedProbes.increment();
    }

    /** Returns the number of probes that were not sent. */
    public long droppedProbes() {
        return droppedProbes.sum();
    }

    /** Returns the number of requests that have failed since the upstream last answered. */
    public int consecutiveFailures() {
        return consecutiveFailures.get();
    }

    /** Returns this router's requests in progress. */
    public int inProgress() {
        return inProgress.get();
    }

    /** Returns the number of requests that this router has started. */
    public long startedCount() {
        return startedCount.sum();
    }

    /** Returns the number of this router's requests that have failed at the upstream. */
    public long failedCount() {
        return failedCount.sum();
    }

    /** Returns the latest report, or null if there was none. */
    public ReceivedReport latestReport() {
        return latestReport;
    }
}
