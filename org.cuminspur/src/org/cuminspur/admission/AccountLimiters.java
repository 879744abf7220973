package org.cuminspur.admission;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.stream.Stream;
import org.cuminspur.config.AccountSpec;
import org.cuminspur.id.AccountId;

/**
 * The limiters of the accounts that one router has served lately.
 *
 * <p>Thread-safe: traffic threads look limiters up, the control thread sets their limits. A limiter starts with an even
 * share of the account's limits, and is evicted after a minute without requests.
 */
public final class AccountLimiters {
    private static final long IDLE_MS = 60_000;

    private final ConcurrentMap<AccountId, AccountLimiter> limiters = new ConcurrentHashMap<>();
    private volatile int routerCount = 1;

    /** Returns an account's limiter, which is created if absent. */
    AccountLimiter forAccount(AccountSpec account, long now) {
        AccountLimiter existing = limiters.get(account.id());
        return existing != null
                ? existing
                : limiters.computeIfAbsent(
                        account.id(),
                        id -> new AccountLimiter(account, AccountLimit.evenShare(account, routerCount), now));
    }

    /** Returns the limiter of an account, or null if it is idle. */
    public AccountLimiter get(AccountId account) {
        return limiters.get(account);
    }

    public Stream<AccountLimiter> stream() {
        return limiters.values().stream();
    }

    /** Returns the number of routers that limits are divided over. */
    public int routerCount() {
        return routerCount;
    }

    /** Sets the number of routers that limits are divided over; at least 1. */
    public void routerCount(int count) {
        routerCount = Math.max(1, count);
    }

    /** Evicts the limiters of idle accounts. */
    public void evictIdle(long now) {
        limiters.values().removeIf(limiter -> limiter.idleSince(now - IDLE_MS));
    }
}
