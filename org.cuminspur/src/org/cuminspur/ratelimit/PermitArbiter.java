package org.cuminspur.ratelimit;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.cuminspur.id.InstanceId;
import org.cuminspur.time.Clock;
import org.cuminspur.time.Timer;
import org.cuminspur.traffic.ArbiterDirectory;
import org.cuminspur.traffic.FleetView;
import org.cuminspur.traffic.UpstreamProcessId;

/**
 * Grants permits to send requests to upstreams with limits, for the whole fleet, and asks for them.
 *
 * <p>Not thread-safe; confined to the traffic thread. One instance grants all permits of an upstream. If it does not
 * answer, the request gets none; after some timeouts the next instance in the order is asked for a while.
 */
final class PermitArbiter {
    /** Longest wait for an answer; a round trip between failure domains, and the pauses of a small machine. */
    static final long REPLY_TIMEOUT_MS = 40;

    /** Consecutive timeouts after which an instance is skipped; single messages may be lost. */
    static final int MAX_TIMEOUTS = 3;

    /** Time in which an instance that does not answer is skipped. */
    static final long SKIP_MS = 2_000;

    /** Time after which a bucket that nobody asks for is forgotten; it is full by then. */
    private static final long IDLE_MS = 10_000;

    private static final int MAX_BUCKETS = 4_096;

    /** The answer to a query; immutable. */
    record Permit(boolean granted, long waitMillis) {}

    private record Pending(InstanceId arbiter, Consumer<Permit> result) {}

    /** Consecutive timeouts of an instance, and the time until which it is skipped; immutable. */
    private record Timeouts(int count, long skippedUntilMillis) {
        private static final Timeouts NONE = new Timeouts(0, Long.MIN_VALUE);

        Timeouts withTimeout(long nowMillis) {
            return count + 1 < MAX_TIMEOUTS
                    ? new Timeouts(count + 1, skippedUntilMillis)
                    : new Timeouts(0, nowMillis + SKIP_MS);
        }
    }

    private final InstanceId self;
    private final Clock clock;
    private final Timer timer;
    private final BiConsumer<InstanceId, PermitMessage> sender;
    private final ArbiterDirectory arbiters;
    private final Map<UpstreamProcessId, PermitBucket> buckets = new HashMap<>();
    private final Map<Integer, Pending> pending = new HashMap<>();
    private final Map<InstanceId, Timeouts> timeouts = new HashMap<>();
    private int queries;

    PermitArbiter(InstanceId self, Clock clock, Timer timer, BiConsumer<InstanceId, PermitMessage> sender) {
        this.self = self;
        this.clock = clock;
        this.timer = timer;
        this.sender = sender;
        arbiters = new ArbiterDirectory(self);
    }

    void update(FleetView view) {
        arbiters.update(view);
        timeouts.keySet().retainAll(view.peers().keySet());
    }

    /**
     * Asks for a permit.
     *
     * @param result receives the answer at once or within {@link #REPLY_TIMEOUT_MS}
     */
    void request(UpstreamProcessId upstream, double requestsPerSecond, boolean bound, Consumer<Permit> result) {
        InstanceId arbiter = arbiters.arbiterOf(upstream.hash(), this::answers);
        if (arbiter.equals(self)) {
            result.accept(decide(upstream, requestsPerSecond, bound));
            return;
        }
        int number = queries++;
        pending.put(number, new Pending(arbiter, result));
        sender.accept(arbiter, new PermitMessage.Query(number, upstream, requestsPerSecond, bound));
        timer.schedule(REPLY_TIMEOUT_MS, () -> {
            if (pending.remove(number) != null) {
                timeouts.put(
                        arbiter, timeouts.getOrDefault(arbiter, Timeouts.NONE).withTimeout(clock.millis()));
                result.accept(new Permit(false, REPLY_TIMEOUT_MS));
            }
        });
    }

    /**
     * Handles a query.
     *
     * @param requestsPerSecond the limit as this instance knows it
     */
    void receive(InstanceId from, PermitMessage.Query query, double requestsPerSecond) {
        Permit permit = decide(query.upstream(), requestsPerSecond, query.bound());
        sender.accept(from, new PermitMessage.Reply(query.number(), permit.granted(), (int) permit.waitMillis()));
    }

    /** Handles the reply to a query; late ones are ignored. */
    void receive(InstanceId from, PermitMessage.Reply reply) {
        Pending query = pending.get(reply.number());
        if (query != null && query.arbiter().equals(from)) {
            pending.remove(reply.number());
            timeouts.remove(from);
            query.result().accept(new Permit(reply.granted(), reply.waitMillis()));
        }
    }

    private boolean answers(InstanceId id) {
        return timeouts.getOrDefault(id, Timeouts.NONE).skippedUntilMillis() <= clock.millis();
    }

    private Permit decide(UpstreamProcessId upstream, double requestsPerSecond, boolean bound) {
        long now = clock.millis();
        if (buckets.size() >= MAX_BUCKETS) {
            buckets.values().removeIf(bucket -> now - bucket.filledMillis() > IDLE_MS);
        }
        PermitBucket bucket = buckets.computeIfAbsent(upstream, absent -> new PermitBucket(now));
        boolean granted = bucket.tryTake(requestsPerSecond, bound, now);
        return new Permit(granted, granted ? 0 : bucket.waitMillis(requestsPerSecond));
    }
}
