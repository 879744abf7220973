package org.cuminspur.admission;

import org.cuminspur.config.AccountSpec;

/**
 * The limit of one account at one router; immutable.
 *
 * @param requestsPerSecond requests that may start per second
 * @param concurrent requests that may be in progress
 */
public record AccountLimit(double requestsPerSecond, double concurrent) {
    /** Returns an account's limits divided evenly over a number of routers. */
    public static AccountLimit evenShare(AccountSpec account, int routers) {
        return new AccountLimit(account.requestsPerSecond() / routers, (double) account.concurrent() / routers);
    }

    /** Interpolates linearly from this limit, at 0, to another, at 1. */
    public AccountLimit interpolate(AccountLimit other, double fraction) {
        return new AccountLimit(
                requestsPerSecond + (other.requestsPerSecond - requestsPerSecond) * fraction,
                concurrent + (other.concurrent - concurrent) * fraction);
    }
}
