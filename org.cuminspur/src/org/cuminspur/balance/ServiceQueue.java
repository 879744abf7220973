package org.cuminspur.balance;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.cuminspur.id.InstanceId;
import org.cuminspur.traffic.UpstreamProcessId;

/**
 * Decides on the requests of all instances to one service: which goes where, which waits, which is rejected.
 *
 * <p>Not thread-safe. Answers a burst over the room of a service: a request that would be turned away by a full upstream
 * waits here, where it can be ordered, and one that cannot be served before its limit is rejected at once. The room follows
 * from what the upstreams say and from what was assigned since ({@link LoadTable}).
 */
final class ServiceQueue {
    /** Time after which a request is dropped that its instance no longer asks for: two refreshes and a slow link. */
    static final long REFRESH_TIMEOUT_MS = 300;

    /** Requests that wait although they are late; more would take room from those that can be in time. */
    private static final int MAX_LATE = 16;

    /** Work of a request that is counted against its aim, in multiples of the mean: some requests take twice as long. */
    private static final double WORK_MARGIN = 2;

    /** Least and longest time after which a rejected caller is told to return. */
    private static final int MIN_RETRY_AFTER_MS = 100;

    static final int MAX_RETRY_AFTER_MS = 5_000;

    private final LoadTable table;
    private final BiConsumer<InstanceId, BalanceMessage> sender;
    private final WaitingQueue queue = new WaitingQueue();

    /**
     * Creates a queue in which nothing waits.
     *
     * @param sender sends a decision to the instance that asked, perhaps in vain
     */
    ServiceQueue(LoadTable table, BiConsumer<InstanceId, BalanceMessage> sender) {
        this.table = table;
        this.sender = sender;
    }

    boolean isEmpty() {
        return queue.size() == 0;
    }

    int size() {
        return queue.size();
    }

    /** Decides on a request that is new or still waits. */
    void offer(InstanceId from, BalanceMessage.Query asked, long nowMillis) {
        BalanceMessage.Query query = asked.only(table.usable(asked.candidates(), nowMillis));
        table.list(query.candidates(), nowMillis);
        double workMillis = table.workMillis(query.candidates());
        WaitingRequest request = WaitingRequest.of(from, query, Math.round(WORK_MARGIN * workMillis), nowMillis);
        boolean isNew = !queue.contains(request.ticket());
        queue.put(request).ifPresent(this::reject);
        release(nowMillis);
        if (!queue.contains(request.ticket())) {
            return;
        }
        if (isNew && !mayWait(request, workMillis, nowMillis)) {
            queue.remove(request);
            reject(request);
        } else {
            sender.accept(from, new BalanceMessage.Queued(query.number()));
        }
    }

    /** Assigns those that wait for as long as there is room, and rejects those whose time to go has passed. */
    void release(long nowMillis) {
        if (isEmpty()) {
            return;
        }
        queue.removeForgotten(nowMillis - REFRESH_TIMEOUT_MS);
        queue.removeOverdue(nowMillis).forEach(this::reject);
        Optional<WaitingRequest> next;
        do {
            Map<UpstreamProcessId, Boolean> room = new HashMap<>();
            next = queue.take(
                    request -> request.candidates().stream()
                            .anyMatch(candidate -> room.computeIfAbsent(
                                    candidate.upstream(), upstream -> table.hasRoom(upstream, nowMillis))),
                    nowMillis);
            next.ifPresent(request -> assign(request, nowMillis));
        } while (next.isPresent());
    }

    private void assign(WaitingRequest request, long nowMillis) {
        List<Candidate> withRoom = request.candidates().stream()
                .filter(candidate -> table.hasRoom(candidate.upstream(), nowMillis))
                .toList();
        table.assign(withRoom, request.candidates(), nowMillis)
                .ifPresent(upstream -> sender.accept(
                        request.ticket().instance(),
                        new BalanceMessage.Reply(request.ticket().number(), upstream)));
    }

    /** Returns whether the turn of a new request comes while it can go; of those that are late a few wait. */
    private boolean mayWait(WaitingRequest request, double workMillis, long nowMillis) {
        long turns = Math.min(queue.ahead(request), WaitingQueue.LONGEST_WAIT_INTERVAL * queue.older(request));
        double waitMillis = turns * workMillis / table.slots(request.candidates());
        return nowMillis + waitMillis <= request.startByMillis() && (!request.late() || queue.late() <= MAX_LATE);
    }

    /** Rejects a request; its caller is to return when those that wait now have been served. */
    private void reject(WaitingRequest request) {
        double drainedMillis =
                queue.size() * table.workMillis(request.candidates()) / table.slots(request.candidates());
        int retryAfterMillis = (int) Math.max(MIN_RETRY_AFTER_MS, Math.min(MAX_RETRY_AFTER_MS, drainedMillis));
        sender.accept(
                request.ticket().instance(),
                new BalanceMessage.Rejected(request.ticket().number(), retryAfterMillis));
    }
}
