package org.cuminspur.balance;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.stream.Collectors;
import org.cuminspur.event.EventSink;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.time.Clock;
import org.cuminspur.time.Timer;
import org.cuminspur.traffic.FleetView;
import org.cuminspur.traffic.UpstreamEntry;
import org.cuminspur.traffic.UpstreamProcessId;

/**
 * Assigns the requests of all instances, for the services of which this instance is asked.
 *
 * <p>Not thread-safe; confined to the traffic thread. Holds what upstreams have said and the requests that wait, both of which
 * may be lost with the instance.
 */
final class RequestAssigner {
    /** Interval at which requests that wait are looked at without a report from any upstream. */
    private static final long RELEASE_INTERVAL_MS = 50;

    /** Services whose queues are kept although nothing waits. */
    private static final int MAX_IDLE_QUEUES = 64;

    private final LoadTable table;
    private final Clock clock;
    private final Timer timer;
    private final BiConsumer<InstanceId, BalanceMessage> sender;
    private final EventSink events;
    private final Map<Long, ServiceQueue> queues = new HashMap<>();
    private Map<UpstreamProcessId, UpstreamId> names = Map.of();
    private Set<UpstreamProcessId> paced = Set.of();
    private boolean releaseScheduled;

    /**
     * Creates an assigner that knows nothing.
     *
     * @param sender sends a decision to the instance that asked, which may be this one
     * @param events receives which upstreams are paced
     */
    RequestAssigner(
            LoadTable table,
            Clock clock,
            Timer timer,
            BiConsumer<InstanceId, BalanceMessage> sender,
            EventSink events) {
        this.table = table;
        this.clock = clock;
        this.timer = timer;
        this.sender = sender;
        this.events = events;
    }

    /** Applies a newer view of the fleet. */
    void update(FleetView view) {
        names = view.upstreams().values().stream()
                .collect(Collectors.toMap(UpstreamProcessId::of, UpstreamEntry::id, (first, second) -> first));
    }

    /** Applies what an upstream said of itself in a response to any instance. */
    void report(UpstreamProcessId upstream, UpstreamReport report) {
        table.report(upstream, report, clock.millis());
        releaseAll();
        logPaces();
    }

    /** Records that a request to an upstream broke before its response, or could not be sent. */
    void recordFailure(UpstreamProcessId upstream) {
        table.recordFailure(upstream, clock.millis());
        logPaces();
    }

    /** Records that an upstream ran a request and answered with an error. */
    void recordError(UpstreamProcessId upstream) {
        table.recordError(upstream, clock.millis());
    }

    /** Decides on a request of an instance, which is told at once or when there is room. */
    void query(InstanceId from, BalanceMessage.Query query) {
        queues.computeIfAbsent(query.service(), absent -> new ServiceQueue(table, sender))
                .offer(from, query, clock.millis());
        scheduleRelease();
        logPaces();
    }

    /** Assigns a request of this instance that nobody else decides on. */
    Optional<UpstreamProcessId> assign(List<Candidate> candidates) {
        return table.assign(table.usable(candidates, clock.millis()), clock.millis());
    }

    /** Returns what is known of some candidates and where a request would go; it is not assigned. */
    BalanceExplanation explain(InstanceId self, List<Candidate> candidates) {
        long now = clock.millis();
        List<Candidate> withRoom = table.usable(candidates, now).stream()
                .filter(candidate -> table.hasRoom(candidate.upstream(), now))
                .toList();
        return new BalanceExplanation(
                self,
                waiting(),
                table.choose(withRoom, now),
                candidates.stream()
                        .map(candidate -> table.figures(candidate.upstream(), now))
                        .toList());
    }

    /** Returns the requests that wait for room. */
    int waiting() {
        return queues.values().stream().mapToInt(ServiceQueue::size).sum();
    }

    /** Returns the upstreams that get less than they have slots for, since they have just started or recovered. */
    int paced() {
        return paced.size();
    }

    private void releaseAll() {
        // A release may lead to another request, of a service without a queue so far.
        List.copyOf(queues.values()).forEach(queue -> queue.release(clock.millis()));
        if (queues.size() > MAX_IDLE_QUEUES) {
            queues.values().removeIf(ServiceQueue::isEmpty);
        }
    }

    private void scheduleRelease() {
        if (!releaseScheduled && waiting() > 0) {
            releaseScheduled = true;
            timer.schedule(RELEASE_INTERVAL_MS, () -> {
                releaseScheduled = false;
                releaseAll();
                scheduleRelease();
            });
        }
    }

    private void logPaces() {
        Set<UpstreamProcessId> now = table.paced(clock.millis());
        if (now.equals(paced)) {
            return;
        }
        names.forEach((process, id) -> {
            if (now.contains(process) != paced.contains(process)) {
                String event = now.contains(process) ? "upstream-paced" : "upstream-in-full-use";
                events.emit(event, "upstream", id.value());
            }
        });
        paced = now;
    }
}
