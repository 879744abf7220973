package org.cuminspur.balance;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Orders the requests of all instances that wait for room at the upstreams of one service.
 *
 * <p>Not thread-safe. Answers a load over the room: the more urgent go first, then those that can still be in time, then
 * the accounts that were served least, then those that wait longest. One in four goes to the one that waits longest of
 * all, so that nobody is starved. Nobody waits beyond the time until which the response can be in time: under a lasting
 * load all responses would be late otherwise. Holds a bounded number of requests.
 */
final class WaitingQueue {
    /** Requests that wait at most; each is asked for several times a second, and compared at each response. */
    static final int MAX_WAITING = 128;

    /** One request in so many goes to the one that waits longest, which keeps a quarter of the service for it. */
    static final int LONGEST_WAIT_INTERVAL = 4;

    /** Time constant with which the service that an account got loses weight; about the length of a burst. */
    private static final double ACCOUNT_DECAY_MS = 2_000;

    /** Accounts above which those that got nothing lately are forgotten. */
    private static final int PRUNE_SIZE = 4_096;

    /** Time after which service is counted anew, before the units exceed the range of their type. */
    private static final long RESCALE_MS = 100_000;

    private final Map<WaitingRequest.Ticket, WaitingRequest> waiting = new LinkedHashMap<>();

    /** Service by account, in units that grow with time, so that older service counts less without being updated. */
    private final Map<Integer, Double> served = new HashMap<>();

    private long scaleMillis = Long.MIN_VALUE / 2;
    private long taken;

    int size() {
        return waiting.size();
    }

    boolean contains(WaitingRequest.Ticket ticket) {
        return waiting.containsKey(ticket);
    }

    /**
     * Adds a request, or refreshes it if it waits already.
     *
     * @return the request that has to go since there are too many, perhaps this one
     */
    Optional<WaitingRequest> put(WaitingRequest request) {
        waiting.put(request.ticket(), request);
        if (waiting.size() <= MAX_WAITING) {
            return Optional.empty();
        }
        Optional<WaitingRequest> last = waiting.values().stream().max(order());
        last.ifPresent(this::remove);
        return last;
    }

    void remove(WaitingRequest request) {
        waiting.remove(request.ticket());
    }

    /** Returns the number of requests that go before one. */
    long ahead(WaitingRequest request) {
        Comparator<WaitingRequest> order = order();
        return waiting.values().stream()
                .filter(other -> !other.ticket().equals(request.ticket()) && order.compare(other, request) < 0)
                .count();
    }

    /** Returns the number of requests that have waited longer than one. */
    long older(WaitingRequest request) {
        return waiting.values().stream()
                .filter(other -> other.sinceMillis() < request.sinceMillis())
                .count();
    }

    /** Removes the next request of those that may go. */
    Optional<WaitingRequest> take(Predicate<WaitingRequest> mayGo, long nowMillis) {
        Comparator<WaitingRequest> order = (taken + 1) % LONGEST_WAIT_INTERVAL == 0
                ? Comparator.comparingLong(WaitingRequest::sinceMillis)
                : order();
        Optional<WaitingRequest> next = waiting.values().stream().filter(mayGo).min(order);
        next.ifPresent(request -> {
            remove(request);
            taken++;
            recordServed(request.account(), nowMillis);
        });
        return next;
    }

    private void recordServed(int account, long nowMillis) {
        if (nowMillis - scaleMillis > RESCALE_MS || served.size() > PRUNE_SIZE) {
            served.clear();
            scaleMillis = nowMillis;
        }
        served.merge(account, Math.exp((nowMillis - scaleMillis) / ACCOUNT_DECAY_MS), Double::sum);
    }

    /** Removes the requests that their instances no longer ask for. */
    void removeForgotten(long refreshedSinceMillis) {
        waiting.values().removeIf(request -> request.refreshedMillis() < refreshedSinceMillis);
    }

    /** Removes and returns the requests whose time to go has passed. */
    List<WaitingRequest> removeOverdue(long nowMillis) {
        List<WaitingRequest> overdue = waiting.values().stream()
                .filter(request -> request.startByMillis() < nowMillis)
                .toList();
        overdue.forEach(this::remove);
        return overdue;
    }

    /** Returns the number of requests that are late already. */
    long late() {
        return waiting.values().stream().filter(WaitingRequest::late).count();
    }

    private Comparator<WaitingRequest> order() {
        return Comparator.comparingInt(WaitingRequest::priority)
                .thenComparing(WaitingRequest::late)
                .thenComparingDouble(request -> served.getOrDefault(request.account(), 0.0))
                .thenComparingLong(WaitingRequest::sinceMillis)
                .thenComparingInt(request -> request.ticket().number());
    }
}
