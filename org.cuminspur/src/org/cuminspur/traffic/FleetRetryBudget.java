package org.cuminspur.traffic;

import org.cuminspur.retry.RetryPermits;
import org.cuminspur.time.Clock;

/**
 * Limits this instance's retries to a service, so that those of the whole fleet stay within its bound.
 *
 * <p>Not thread-safe. Within any window, retries are at most the instance's own requests times the retry ratio, plus an
 * even share of the fleet's slack. Instances need not exchange messages for it.
 */
public final class FleetRetryBudget implements RetryPermits {
    /** Share of the bound that is used, since the windows of the instances are not aligned. */
    private static final double USED_SHARE = 0.8;

    private static final int INITIAL_CAPACITY = 64;

    private final TrafficBounds bounds;
    private final Clock clock;
    private final SlidingWindowCounter requests;
    private final SlidingWindowCounter retries;
    private int fleetSize = 1;

    public FleetRetryBudget(TrafficBounds bounds, Clock clock) {
        this.bounds = bounds;
        this.clock = clock;
        this.requests = new SlidingWindowCounter(bounds.retryWindowMillis(), INITIAL_CAPACITY);
        this.retries = new SlidingWindowCounter(bounds.retryWindowMillis(), INITIAL_CAPACITY);
    }

    /** Sets the number of instances that share the slack. */
    public void setFleetSize(int instances) {
        fleetSize = Math.max(1, instances);
    }

    /** Counts a caller's request. */
    public void recordRequest() {
        requests.add(clock.millis());
    }

    @Override
    public boolean tryAcquire() {
        long now = clock.millis();
        double bound = USED_SHARE * (bounds.retryRatio() * requests.count(now) + bounds.retrySlack() / fleetSize);
        if (retries.count(now) + 1 > bound) {
            return false;
        }
        retries.add(now);
        return true;
    }

    @Override
    public void recordSuccess() {}
}
