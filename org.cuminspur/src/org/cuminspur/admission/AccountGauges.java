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
public final class AccountGauges {
    private static final long IDLE_MS = 60_000;

    private final ConcurrentMap<AccountId, AccountGauge> gauges = new ConcurrentHashMap<>();
    private volatile int routers = 1;

    /** Returns an account's gauge. */
    AccountGauge of(AccountSpec account, long now) {
        AccountGauge held = gauges.get(account.id());
        return held != null
                ? held
                : gauges.computeIfAbsent(
                        account.id(), id -> new AccountGauge(account, AccountLimit.even(account, routers), now));
    }

    /** Returns the gauge of an account, or null if it is idle. */
    public AccountGauge get(AccountId account) {
        return gauges.get(account);
    }

    /** Returns the gauges. */
    public Stream<AccountGauge> stream() {
        return gauges.values().stream();
    }

    /** Returns over how many routers limits are divided. */
    public int routers() {
        return routers;
    }

    /** Sets over how many routers limits are divided. */
    public void routers(int count) {
        routers = Math.max(1, count);
    }

    /** Drops the gauges of idle accounts. */
    public void forgetIdle(long now) {
        gauges.values().removeIf(gauge -> gauge.idleSince(now - IDLE_MS));
    }
}
