package org.cuminspur.balance;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.Stream;

/** What became of the requests of a fleet, by account and by priority; not thread-safe. */
final class FleetOutcomes {
    final RequestOutcomes all = new RequestOutcomes();
    private final Map<Integer, RequestOutcomes> byAccount = new TreeMap<>();
    private final Map<Integer, RequestOutcomes> byPriority = new TreeMap<>();

    RequestOutcomes account(int account) {
        return byAccount.computeIfAbsent(account, absent -> new RequestOutcomes());
    }

    RequestOutcomes priority(int priority) {
        return byPriority.computeIfAbsent(priority, absent -> new RequestOutcomes());
    }

    void count(SimulatedRequest request, Consumer<RequestOutcomes> change) {
        Stream.of(all, account(request.account), priority(request.priority)).forEach(change);
    }
}
