package org.cuminspur.retry;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.cuminspur.id.AccountId;

/**
 * The retry budgets of the client accounts that have sent requests to this router.
 *
 * <p>Thread-safe. One account's failures never use up another's budget. There is at most one entry per published
 * account, since requests of unknown accounts are refused earlier.
 */
public final class RetryBudgets {
    private final Map<AccountId, RetryBudget> budgets = new ConcurrentHashMap<>();

    /** Returns an account's budget. */
    public RetryBudget forAccount(AccountId account) {
        return budgets.computeIfAbsent(account, absent -> new RetryBudget());
    }
}
