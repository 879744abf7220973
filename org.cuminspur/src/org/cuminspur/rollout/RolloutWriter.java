package org.cuminspur.rollout;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.cuminspur.id.ServiceId;
import org.cuminspur.store.Store;
import org.cuminspur.store.StoreFault;
import org.cuminspur.store.Txn;
import org.cuminspur.store.TxnResult;
import org.cuminspur.traffic.FleetWatcher;

/**
 * Writes the records of roll-outs and what operators read of them, and logs each decision.
 *
 * <p>Confined to the timer thread. One write of a service is on its way at a time. A write takes effect only if neither the
 * order nor the record has changed since they were read, so one that is late or repeated does no harm.
 */
final class RolloutWriter {
    /** Time after which a write whose effect has not been read may be repeated. */
    private static final long WRITE_TIMEOUT_MS = 1_500;

    /** Pause after a write that failed, so that an outage of the store costs few calls. */
    private static final long RETRY_MS = 500;

    private final Store store;
    private final FleetWatcher.Context context;
    private final RolloutKeys keys;
    private final Consumer<Optional<RolloutRecord>> onReply;
    private final Map<ServiceId, Long> startedMillis = new HashMap<>();

    /**
     * Creates a writer.
     *
     * @param onReply receives what was written after each reply, nothing if it was not
     */
    RolloutWriter(
            Store store, FleetWatcher.Context context, RolloutKeys keys, Consumer<Optional<RolloutRecord>> onReply) {
        this.store = store;
        this.context = context;
        this.keys = keys;
        this.onReply = onReply;
    }

    /** Records that another record was read. */
    void recordRead(ServiceId service) {
        startedMillis.remove(service);
    }

    /** Writes a record that was decided on, unless a write is on its way. */
    void write(RolloutTracker tracker, RolloutRecord record, RolloutAssessment assessment, int instances) {
        if (begin(tracker.service())) {
            logDecision(tracker, record, assessment, instances);
            List<Txn.Put> puts = List.of(
                    Txn.Put.of(key(tracker.service()), record.encode()), keys.status(record.order(), record.phase()));
            commit(tracker.service(), new Txn(compares(tracker), puts, List.of()), Optional.of(record));
        }
    }

    /** Removes the record, unless a write is on its way. */
    void remove(RolloutTracker tracker) {
        if (begin(tracker.service())) {
            Txn txn = new Txn(compares(tracker), List.of(), List.of(key(tracker.service())));
            commit(tracker.service(), txn, Optional.empty());
        }
    }

    private boolean begin(ServiceId service) {
        long now = context.clock().millis();
        if (now - startedMillis.getOrDefault(service, Long.MIN_VALUE / 2) < WRITE_TIMEOUT_MS) {
            return false;
        }
        startedMillis.put(service, now);
        return true;
    }

    private List<Txn.Compare> compares(RolloutTracker tracker) {
        return List.of(
                new Txn.Compare(keys.order(tracker.service()), tracker.orderRevision()),
                new Txn.Compare(key(tracker.service()), tracker.storedRevision()));
    }

    private void commit(ServiceId service, Txn txn, Optional<RolloutRecord> record) {
        store.commit(
                txn,
                reply -> context.timer().schedule(0, () -> {
                    boolean done = reply.isRight() && reply.get().succeeded();
                    if (!done) {
                        // The next write of this service waits for the pause only.
                        startedMillis.put(service, context.clock().millis() - WRITE_TIMEOUT_MS + RETRY_MS);
                    }
                    emit(
                            "rollout-written",
                            service,
                            record.map(RolloutRecord::order),
                            "phase",
                            record.map(written -> written.phase().name()).orElse("removed"),
                            "outcome",
                            outcome(reply));
                    onReply.accept(record.filter(written -> done));
                }));
    }

    private static String outcome(Either<StoreFault, TxnResult> reply) {
        return reply.fold(StoreFault::name, result -> result.succeeded() ? "done" : "overtaken");
    }

    private void logDecision(
            RolloutTracker tracker, RolloutRecord record, RolloutAssessment assessment, int instances) {
        emit(
                "rollout-decided",
                tracker.service(),
                Optional.of(record.order()),
                "phase",
                record.phase().name(),
                "elapsedMillis",
                context.clock().millis() - tracker.startMillis(),
                "verdict",
                assessment.bad() ? "bad" : "open",
                "answers",
                assessment.targetAnswers(),
                "bad",
                assessment.badAnswers(),
                "released",
                assessment.released(),
                "reporting",
                assessment.reporting(),
                "instances",
                instances,
                "rank",
                assessment.rank());
    }

    /** Logs an event of a roll-out. */
    void emit(String event, ServiceId service, Optional<RolloutOrder> order, Object... more) {
        Object[] fields = {
            "service",
            service.value(),
            "target",
            order.map(given -> given.target().value()).orElse("")
        };
        context.events().emit(event, Stream.of(fields, more).flatMap(Stream::of).toArray());
    }

    private static String key(ServiceId service) {
        return RolloutManager.KEY_PREFIX + service.value();
    }
}
