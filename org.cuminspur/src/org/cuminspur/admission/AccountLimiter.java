package org.cuminspur.admission;

import org.cuminspur.config.AccountSpec;

/**
 * Enforces the limit of one account at one router: a token bucket for the rate, and a bound on concurrency.
 *
 * <p>Thread-safe. In any period {@code t} at most rate x t plus the burst start. One request may always be in progress,
 * whatever the limit, so that a small share never shuts an account out of a router.
 */
public final class AccountLimiter {
    /** Requests that may start at once after a pause, however small the rate. */
    public static final double MIN_BURST_REQUESTS = 2;

    private static final double BURST_SECONDS = 1;
    private static final double DEMAND_TIME_CONSTANT_MS = 3_000;
    private static final double HELD_TIME_SMOOTHING = 1.0 / 16;

    /** The load that an account offers to one router; immutable. */
    public record Demand(double requestsPerSecond, double concurrent, boolean limited) {}

    private AccountSpec account;
    private AccountLimit limit;
    private double tokens = Double.NaN;
    private long lastRefillMillis;
    private int inProgress;
    private double meanHeldMillis;
    private long lastUsedMillis;
    private double demandPerSecond;
    private long lastSampleMillis;
    private int arrivals;
    private int rejectedArrivals;

    AccountLimiter(AccountSpec account, AccountLimit limit, long now) {
        this.account = account;
        this.limit = limit;
        lastUsedMillis = now;
        lastRefillMillis = now;
        lastSampleMillis = now;
    }

    /** Starts a request and returns 0, or returns the milliseconds after which it may be retried. */
    synchronized long tryStart(AccountSpec spec, long now) {
        account = spec;
        lastUsedMillis = now;
        arrivals++;
        refill(now);
        if (tokens < 1) {
            rejectedArrivals++;
            return Math.max(1, (long) Math.ceil((1 - tokens) * 1_000 / limit.requestsPerSecond()));
        }
        if (inProgress >= Math.max(1, limit.concurrent())) {
            rejectedArrivals++;
            return Math.max(1, (long) (meanHeldMillis / inProgress));
        }
        tokens--;
        inProgress++;
        return 0;
    }

    /** Ends a request that took {@code heldMillis}. */
    synchronized void end(long heldMillis) {
        inProgress--;
        meanHeldMillis =
                meanHeldMillis == 0 ? heldMillis : meanHeldMillis + (heldMillis - meanHeldMillis) * HELD_TIME_SMOOTHING;
    }

    /** Undoes the start of a request that could not be served. */
    synchronized void cancel() {
        inProgress--;
        tokens = Math.min(burst(), tokens + 1);
    }

    /** Returns the mean duration of the account's requests, 0 before the first has ended. */
    synchronized double meanHeldMillis() {
        return meanHeldMillis;
    }

    /** Returns the account as published at its latest request. */
    public synchronized AccountSpec account() {
        return account;
    }

    /** Returns the number of requests in progress, including those that wait. */
    public synchronized int inProgress() {
        return inProgress;
    }

    /** Returns the limit in force. */
    public synchronized AccountLimit limit() {
        return limit;
    }

    /** Replaces the limit. */
    public synchronized void limit(AccountLimit value, long now) {
        refill(now);
        limit = value;
        tokens = Math.min(tokens, burst());
    }

    /** Returns the demand since the last sample, with the rate smoothed; called by the control thread only. */
    public synchronized Demand sampleDemand(long now) {
        double elapsed = now - lastSampleMillis;
        if (elapsed > 0) {
            double gain = 1 - Math.exp(-elapsed / DEMAND_TIME_CONSTANT_MS);
            demandPerSecond += (arrivals * 1_000 / elapsed - demandPerSecond) * gain;
        }
        boolean limited = rejectedArrivals > 0;
        double wantedConcurrent = inProgress + (inProgress >= limit.concurrent() ? rejectedArrivals : 0);
        lastSampleMillis = now;
        arrivals = 0;
        rejectedArrivals = 0;
        return new Demand(demandPerSecond, wantedConcurrent, limited);
    }

    synchronized boolean idleSince(long millis) {
        return inProgress == 0 && lastUsedMillis < millis;
    }

    private void refill(long now) {
        if (Double.isNaN(tokens)) {
            tokens = burst();
        }
        double earned = Math.max(0, now - lastRefillMillis) * limit.requestsPerSecond() / 1_000;
        tokens = Math.min(burst(), tokens + earned);
        lastRefillMillis = now;
    }

    private double burst() {
        return Math.max(MIN_BURST_REQUESTS, limit.requestsPerSecond() * BURST_SECONDS);
    }
}
