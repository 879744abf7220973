package org.cuminspur.quarantine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.cuminspur.id.InstanceId;
import org.cuminspur.time.Clock;
import org.cuminspur.time.Timer;
import org.cuminspur.traffic.ArbiterDirectory;
import org.cuminspur.traffic.FleetView;

/**
 * Grants trials of quarantined suspects, one at a time in the whole fleet.
 *
 * <p>Not thread-safe; confined to the traffic thread. The rendezvous order of a suspect names the instance that decides on
 * its trials. An instance that does not know the suspect as quarantined grants none, so one that has just started is safe.
 * Instances that disagree on the fleet may ask two others, and each may grant one.
 */
final class TrialArbiter {
    /** Longest wait for an answer; several round trips between failure domains. */
    static final long REPLY_TIMEOUT_MS = 100;

    private static final int MAX_GRANTS = 256;

    private final InstanceId self;
    private final Clock clock;
    private final Timer timer;
    private final BiConsumer<InstanceId, QuarantineMessage> sender;
    private final Predicate<SuspectId> due;
    private final ArbiterDirectory arbiters;
    private final Map<SuspectId, Long> grantedMillis = new LinkedHashMap<>();
    private final Map<SuspectId, Deque<Consumer<Boolean>>> waiting = new HashMap<>();

    /**
     * Creates an arbiter that knows no other instance.
     *
     * @param due returns whether a suspect is quarantined and its next trial is due
     */
    TrialArbiter(
            InstanceId self,
            Clock clock,
            Timer timer,
            BiConsumer<InstanceId, QuarantineMessage> sender,
            Predicate<SuspectId> due) {
        this.self = self;
        this.clock = clock;
        this.timer = timer;
        this.sender = sender;
        this.due = due;
        arbiters = new ArbiterDirectory(self);
    }

    /** Returns the time from the last of a number of crashes to the next trial. */
    static long delayMillis(int crashes) {
        return switch (crashes) {
            case 0, 1, 2 -> 0;
            case 3 -> 15_000;
            case 4 -> 60_000;
            case 5 -> 240_000;
            default -> CrashEvidence.QUARANTINE_RETENTION_MS;
        };
    }

    void update(FleetView view) {
        arbiters.update(view);
    }

    /**
     * Asks for a trial of a request with quarantined suspects.
     *
     * @param result receives whether it is granted, at once or within {@link #REPLY_TIMEOUT_MS}
     */
    void request(List<SuspectId> suspects, Consumer<Boolean> result) {
        SuspectId suspect = suspects.stream()
                .min((a, b) -> Long.compareUnsigned(a.hash(), b.hash()))
                .orElseThrow();
        InstanceId arbiter = arbiters.arbiterOf(suspect.hash());
        if (arbiter.equals(self)) {
            result.accept(grant(suspect));
            return;
        }
        Deque<Consumer<Boolean>> queue = waiting.computeIfAbsent(suspect, absent -> new ArrayDeque<>());
        queue.add(result);
        sender.accept(arbiter, new QuarantineMessage.TrialQuery(suspect));
        timer.schedule(REPLY_TIMEOUT_MS, () -> {
            if (queue.remove(result)) {
                forgetIfEmpty(suspect, queue);
                result.accept(false);
            }
        });
    }

    /** Handles a query for a trial, or the reply to one. */
    void receive(InstanceId from, QuarantineMessage message) {
        if (message instanceof QuarantineMessage.TrialQuery query) {
            sender.accept(from, new QuarantineMessage.TrialReply(query.suspect(), grant(query.suspect())));
        } else if (message instanceof QuarantineMessage.TrialReply reply) {
            Deque<Consumer<Boolean>> queue = waiting.getOrDefault(reply.suspect(), new ArrayDeque<>());
            Consumer<Boolean> first = queue.poll();
            forgetIfEmpty(reply.suspect(), queue);
            if (first != null) {
                first.accept(reply.granted());
            }
        }
    }

    private boolean grant(SuspectId suspect) {
        long now = clock.millis();
        Long last = grantedMillis.get(suspect);
        boolean granted = due.test(suspect) && (last == null || now - last >= CrashQuarantine.TRIAL_INTERVAL_MS);
        if (granted) {
            grantedMillis.put(suspect, now);
            if (grantedMillis.size() > MAX_GRANTS) {
                grantedMillis.remove(grantedMillis.keySet().iterator().next());
            }
        }
        return granted;
    }

    private void forgetIfEmpty(SuspectId suspect, Deque<Consumer<Boolean>> queue) {
        if (queue.isEmpty()) {
            waiting.remove(suspect, queue);
        }
    }
}
