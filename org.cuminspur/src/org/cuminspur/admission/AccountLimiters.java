package org.cuminspur.admission;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.stream.Stream;
import org.cuminspur.config.AccountSpec;
import org.cuminspur.id.AccountId;

/**
 * The gauges of the accounts that one router has served lately.
 *
 * <p>Thread-safe: traffic threads look gauges up, the control thread sets their limits. An account that is idle for a
 * minute costs nothing. A gauge starts with an even share of the account's limits.
 */
public final class AccountLimiters {
    private static final long IDLE_MS = 60_000;

    private final ConcurrentMap<AccountId, AccountLimiter> limiters = new ConcurrentHashMap<>();
    private volatile int routerCount = 1;

    /** Returns an account's gauge. */
    AccountLimiter forAccount(AccountSpec account, long now) {
        AccountLimiter existing = limiters.get(account.id());
        return existing != null
                ? existing
                : limiters.computeIfAbsent(
                        account.id(),
                        id -> new AccountLimiter(account, AccountLimit.evenShare(account, routerCount), now));
    }

    /** Returns the gauge of an account, or null if it is idle. */
    public AccountLimiter get(AccountId account) {
        return limiters.get(account);
    }

    /** Returns the gauges. */
    public Stream<AccountLimiter> stream() {
        return limiters.values().stream();
    }

    /** Returns over how many routers limits are divided. */
    public int routerCount() {
        return routerCount;
    }

    /** Sets over how many routers limits are divided. */
    public void routerCount(int count) {
        routerCount = Math.max(1, count);
    }

    /** Drops the gauges of idle accounts. */
    public void evictIdle(long now) {
        limiters.values().removeIf(limiter -> limiter.idleSince(now - IDLE_MS));
    }
}
