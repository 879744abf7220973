package org.cuminspur.traffic;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.ServiceId;
import org.cuminspur.id.SoftwareVersion;
import org.cuminspur.store.Store;
import org.cuminspur.store.StoreFault;
import org.cuminspur.store.StoreRevision;
import org.cuminspur.store.Txn;
import org.cuminspur.store.TxnResult;

/**
 * Keeps in the store, for each service with streams that can be resumed, the software versions that have served it.
 *
 * <p>Confined to the timer thread. A version is in the record from soon after its first upstream is seen until no stream
 * that began there can be resumed any more, so an instance that was not there at the time can tell which versions a stream
 * may have begun at. The record holds at least what any writer has seen: a version that a writer did not see itself stays
 * as long as one that has just left. One instance writes, by compare-and-swap; if it does not, the others try one after
 * another.
 */
final class ServedVersionRecorder {
    /** Prefix of the keys, which end with the service. */
    static final String KEY_PREFIX = "cuminspur/versions/";

    /** Time for the instances of a fleet that starts to register, so that they agree on who writes. */
    static final long START_DELAY_MS = 2_500;

    /** Delay for each preceding instance; longer than a write takes to be seen. */
    static final long DELAY_PER_INSTANCE_MS = 1_500;

    /** Interval between checks for versions whose streams can no longer be resumed. */
    private static final long CHECK_INTERVAL_MS = 2_000;

    /** Time after its last upstream's entry has gone in which an instance may still send to a version. */
    private static final long LEAVE_MARGIN_MS = 10_000;

    private record Stored(ServedVersions versions, StoreRevision revision) {}

    private final Store store;
    private final InstanceId self;
    private final FleetWatcher.Context context;
    private final Map<ServiceId, Stored> stored = new HashMap<>();
    private final Map<ServiceId, Map<SoftwareVersion, Long>> lastServedMillis = new HashMap<>();
    private final Map<ServiceId, ServedVersions> scheduledWrites = new HashMap<>();

    /** Records that were written and not read since. */
    private final Map<ServiceId, ServedVersions> unread = new HashMap<>();

    private FleetView view = FleetView.EMPTY;
    private long firstWriteMillis = Long.MAX_VALUE;

    ServedVersionRecorder(Store store, InstanceId self, FleetWatcher.Context context) {
        this.store = store;
        this.self = self;
        this.context = context;
    }

    /** Starts to check for versions whose streams can no longer be resumed. */
    void start() {
        context.timer().schedule(CHECK_INTERVAL_MS, this::start);
        evaluate();
    }

    /** Forgets what the store holds, since it came back from a copy; what has served is recorded again. */
    void beginEra() {
        stored.replaceAll((service, known) -> new Stored(ServedVersions.NONE, StoreRevision.NONE));
        unread.clear();
    }

    /** Applies a record read from the store; returns whether it is newer than the last one. */
    boolean applyStored(ServiceId service, ServedVersions versions, StoreRevision revision) {
        Stored previous = stored.get(service);
        if (previous != null && !revision.isAfter(previous.revision())) {
            return false;
        }
        stored.put(service, new Stored(versions, revision));
        unread.remove(service);
        long now = context.clock().millis();
        versions.versions().forEach(version -> lastServed(service).putIfAbsent(version, now));
        return true;
    }

    /** Applies a newer view; returns the records as the store is known to hold them. */
    Map<ServiceId, ServedVersions> update(FleetView newView) {
        view = newView;
        if (firstWriteMillis == Long.MAX_VALUE && !newView.upstreams().isEmpty()) {
            firstWriteMillis = context.clock().millis() + START_DELAY_MS;
        }
        evaluate();
        return stored.entrySet().stream()
                .filter(entry -> !entry.getValue().versions().equals(ServedVersions.NONE))
                .collect(Collectors.toMap(
                        Map.Entry::getKey, entry -> entry.getValue().versions()));
    }

    private void evaluate() {
        long now = context.clock().millis();
        view.upstreams().values().forEach(entry -> lastServed(entry.service()).put(entry.version(), now));
        view.resumableServices().forEach(service -> {
            if (differs(service)) {
                schedule(service);
            } else {
                scheduledWrites.remove(service);
            }
        });
    }

    private Map<SoftwareVersion, Long> lastServed(ServiceId service) {
        return lastServedMillis.computeIfAbsent(service, absent -> new HashMap<>());
    }

    /** Returns the versions whose streams may still be resumed, as far as this instance knows. */
    private ServedVersions resumable(ServiceId service) {
        long since = context.clock().millis() - view.streamRetentionMillis(service) - LEAVE_MARGIN_MS;
        lastServed(service).values().removeIf(served -> served < since);
        return new ServedVersions(lastServed(service).keySet());
    }

    private boolean differs(ServiceId service) {
        ServedVersions resumable = resumable(service);
        return !resumable.versions().isEmpty()
                && !resumable.equals(unread.get(service))
                && !Optional.ofNullable(stored.get(service))
                        .map(Stored::versions)
                        .equals(Optional.of(resumable));
    }

    private void schedule(ServiceId service) {
        ServedVersions versions = resumable(service);
        if (versions.equals(scheduledWrites.put(service, versions))) {
            return;
        }
        long startMillis = Math.max(0, firstWriteMillis - context.clock().millis());
        // Who precedes this instance is known once those that start with it have registered.
        context.timer()
                .schedule(
                        startMillis,
                        () -> context.timer()
                                .schedule(
                                        view.precedingInstances(self) * DELAY_PER_INSTANCE_MS,
                                        () -> writeIfScheduled(service, versions)));
    }

    private void writeIfScheduled(ServiceId service, ServedVersions versions) {
        // If the versions have changed since, that change has scheduled its own write.
        if (versions.equals(scheduledWrites.get(service))) {
            scheduledWrites.remove(service);
            write(service, versions);
        }
    }

    private void write(ServiceId service, ServedVersions versions) {
        StoreRevision revision =
                Optional.ofNullable(stored.get(service)).map(Stored::revision).orElse(StoreRevision.NONE);
        unread.put(service, versions);
        store.commit(
                Txn.compareAndSwap(KEY_PREFIX + service.value(), revision, versions.encode()),
                reply -> context.timer().schedule(0, () -> onWritten(service, versions, reply)));
    }

    private void onWritten(ServiceId service, ServedVersions versions, Either<StoreFault, TxnResult> reply) {
        context.events()
                .emit(
                        "served-versions-written",
                        "service",
                        service.value(),
                        "versions",
                        versions.encode(),
                        "outcome",
                        reply.fold(StoreFault::name, result -> result.succeeded() ? "done" : "overtaken"));
        if (reply.isLeft() || !reply.get().succeeded()) {
            unread.remove(service, versions);
        }
    }
}
