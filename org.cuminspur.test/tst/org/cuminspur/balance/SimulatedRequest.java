package org.cuminspur.balance;

import java.util.HashSet;
import java.util.Set;
import org.cuminspur.id.UpstreamId;

/** A request of a caller; not thread-safe. */
final class SimulatedRequest {
    final int account;
    final int priority;
    final long arrivedMillis;
    final Set<UpstreamId> tried = new HashSet<>();
    boolean returned;
    int repeats;

    SimulatedRequest(int account, int priority, long arrivedMillis) {
        this.account = account;
        this.priority = priority;
        this.arrivedMillis = arrivedMillis;
    }

    RequestTerms terms(long nowMillis) {
        int age = (int) (nowMillis - arrivedMillis);
        return new RequestTerms(
                priority, account, (int) SimulatedBalance.AIM_MS - age, (int) SimulatedBalance.LIMIT_MS - age, 0);
    }
}
