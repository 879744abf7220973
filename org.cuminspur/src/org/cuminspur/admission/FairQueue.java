package org.cuminspur.admission;

import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import org.cuminspur.config.Priority;
import org.cuminspur.id.AccountId;

/**
 * Orders waiting requests by start-time fair queueing over flows, one flow for each account and priority.
 *
 * <p>Used under one lock. While flows wait, each gets slot time in proportion to its priority's weight, so that
 * no flow starves. A previously idle flow gains credit for a burst of at most two requests. Memory is bounded by the
 * requests that wait and the flows whose finish time is ahead of the virtual time.
 */
final class FairQueue<T> {
    /** Requests of a previously idle flow that go before flows that have used their share. */
    private static final int BURST_REQUESTS = 2;

    private static final int PRUNE_SIZE = 256;

    /** A request in the queue; immutable. */
    record Entry<T>(Flow flow, double start, double cost, long sequence, T item) {}

    /** Requests of one account with one priority; immutable. */
    record Flow(AccountId account, Priority priority) {}

    private final TreeSet<Entry<T>> entries =
            new TreeSet<>(Comparator.<Entry<T>>comparingDouble(Entry::start).thenComparingLong(Entry::sequence));
    private final Map<AccountId, Integer> waitingByAccount = new HashMap<>();
    private final Map<Flow, Double> finishTimes = new HashMap<>();
    private double virtualTime;
    private long sequence;

    /** Adds a request that is expected to hold a slot for {@code slotMillis}. */
    Entry<T> add(Flow flow, double slotMillis, T item) {
        double cost = Math.max(1, slotMillis) / weight(flow.priority());
        double credit = BURST_REQUESTS * cost;
        double start = Math.max(virtualTime - credit, finishTimes.getOrDefault(flow, Double.NEGATIVE_INFINITY));
        Entry<T> entry = new Entry<>(flow, start, cost, sequence++, item);
        finishTimes.put(flow, start + cost);
        entries.add(entry);
        waitingByAccount.merge(flow.account(), 1, Integer::sum);
        return entry;
    }

    /** Removes the next request, or returns null if none waits. */
    Entry<T> poll() {
        Entry<T> next = entries.pollFirst();
        if (next != null) {
            decrementWaiting(next.flow().account());
            virtualTime = Math.max(virtualTime, next.start());
        }
        if (finishTimes.size() > PRUNE_SIZE) {
            finishTimes.values().removeIf(finish -> finish <= virtualTime);
        }
        return next;
    }

    /** Removes the last request of the account with the most waiting; on a tie, the one to be served last. */
    Entry<T> removeLastOfBusiestAccount() {
        int most = Collections.max(waitingByAccount.values());
        Entry<T> last = entries.descendingSet().stream()
                .filter(entry -> waitingByAccount.get(entry.flow().account()) == most)
                .findFirst()
                .orElseThrow();
        remove(last);
        return last;
    }

    /** Removes a request; returns whether it was waiting. */
    boolean remove(Entry<T> entry) {
        boolean removed = entries.remove(entry);
        if (removed) {
            decrementWaiting(entry.flow().account());
            finishTimes.computeIfPresent(entry.flow(), (flow, finish) -> finish - entry.cost());
        }
        return removed;
    }

    /** Returns the number of requests to be served before this one. */
    int countAhead(Entry<T> entry) {
        return entries.headSet(entry).size();
    }

    int size() {
        return entries.size();
    }

    private void decrementWaiting(AccountId account) {
        waitingByAccount.computeIfPresent(account, (id, count) -> count == 1 ? null : count - 1);
    }

    private static double weight(Priority priority) {
        return switch (priority) {
            case HIGH -> 4;
            case NORMAL -> 2;
            case LOW -> 1;
        };
    }
}
