package org.cuminspur.admission;

import org.cuminspur.config.AccountSpec;

/**
 * What one account may use at one router; immutable.
 *
 * @param requestsPerSecond requests that may start
 * @param concurrent requests that may be in progress
 */
public record AccountLimit(double requestsPerSecond, double concurrent) {
    /** Returns an account's limits divided evenly over a number of routers. */
    public static AccountLimit evenShare(AccountSpec account, int routers) {
        return new AccountLimit(account.requestsPerSecond() / routers, (double) account.concurrent() / routers);
    }

    /** Returns the limit that lies a part of the way, from 0 to 1, towards another. */
    public AccountLimit interpolate(AccountLimit other, double fraction) {
        return new AccountLimit(
                requestsPerSecond + (other.requestsPerSecond - requestsPerSecond) * fraction,
                concurrent + (other.concurrent - concurrent) * fraction);
    }
}
