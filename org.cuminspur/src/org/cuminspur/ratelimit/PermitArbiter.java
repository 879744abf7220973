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

/**
 * Grants permits to send requests to upstreams with limits, for the whole fleet, and asks for them.
 *
 * <p>Not thread-safe; confined to the traffic thread. One instance grants all permits of an upstream. If it does not
 * answer, the request gets none, and for a while the next instance in the order is asked.
 */
final class PermitArbiter {
    /** Longest wait for an answer; a round trip between failure domains, and the pauses of a small machine. */
    static final long REPLY_TIMEOUT_MS = 40;

    /** Consecutive queries without an answer after which an instance is passed over; single messages may be lost. */
    static final int PASS_OVER_TIMEOUTS = 3;

    /** Time in which an instance that does not answer is passed over. */
    static final long PASS_OVER_MS = 2_000;

    /** Time after which a bucket that nobody asks for is forgotten; it is full by then. */
    private static final long IDLE_MS = 10_000;

    private static final int MAX_BUCKETS = 4_096;

    /** The answer to a query; immutable. */
    record Permit(boolean granted, long waitMillis) {}

    private record Pending(InstanceId arbiter, Consumer<Permit> result) {}

    /** Queries in a row that an instance has not answered, and the time until which it is passed over; immutable. */
    private record Silence(int timeouts, long passOverUntilMillis) {
        private static final Silence NONE = new Silence(0, Long.MIN_VALUE);

        Silence withTimeout(long nowMillis) {
            return timeouts + 1 < PASS_OVER_TIMEOUTS
                    ? new Silence(timeouts + 1, passOverUntilMillis)
                    : new Silence(0, nowMillis + PASS_OVER_MS);
        }
    }

    private final InstanceId self;
    private final Clock clock;
    private final Timer timer;
    private final BiConsumer<InstanceId, PermitMessage> sender;
    private final ArbiterDirectory arbiters;
    private final Map<UpstreamProcessId, PermitBucket> buckets = new HashMap<>();
    private final Map<Integer, Pending> pending = new HashMap<>();
    private final Map<InstanceId, Silence> silences = new HashMap<>();
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
        silences.keySet().retainAll(view.peers().keySet());
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
                silences.put(
                        arbiter, silences.getOrDefault(arbiter, Silence.NONE).withTimeout(clock.millis()));
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
            silences.remove(from);
            query.result().accept(new Permit(reply.granted(), reply.waitMillis()));
        }
    }

    private boolean answers(InstanceId id) {
        return silences.getOrDefault(id, Silence.NONE).passOverUntilMillis() <= clock.millis();
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
