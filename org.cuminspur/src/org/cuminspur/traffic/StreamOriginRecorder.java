package org.cuminspur.traffic;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.StreamId;
import org.cuminspur.store.Store;
import org.cuminspur.store.Txn;

/**
 * Keeps in the store where the streams of this instance began, while a service has several software versions, so that they
 * can be resumed after all instances were killed.
 *
 * <p>Confined to the timer thread. Each instance writes one key of its own. What its process before it wrote is kept as long
 * as those streams can be resumed. Streams that began since the last write are not recorded.
 */
final class StreamOriginRecorder {
    /** Prefix of the keys, which end with the instance. */
    static final String KEY_PREFIX = "cuminspur/streams/";

    /** Interval between writes; a small part of the time that streams last. */
    static final long WRITE_INTERVAL_MS = 1_000;

    /** Keys that one transaction removes. */
    private static final int MAX_REMOVALS = 16;

    private final Store store;
    private final InstanceId self;
    private final FleetWatcher.Context context;
    private final StreamMemory memory;
    private final long startMillis;
    private final Map<InstanceId, StreamOrigins> stored = new HashMap<>();
    private final List<StreamOrigins> unlearned = new ArrayList<>();
    private StreamOrigins inherited = StreamOrigins.NONE;
    private FleetView view = FleetView.EMPTY;
    private boolean writing;

    StreamOriginRecorder(Store store, InstanceId self, FleetWatcher.Context context, StreamMemory memory) {
        this.store = store;
        this.self = self;
        this.context = context;
        this.memory = memory;
        this.startMillis = context.clock().millis();
    }

    /** Starts to write as long as several versions serve. */
    void start() {
        context.timer().schedule(WRITE_INTERVAL_MS, this::start);
        if (writing) {
            return;
        }
        if (severalVersions()) {
            memory.collect(origins -> context.timer().schedule(0, () -> write(origins)));
        } else {
            removeObsolete();
        }
    }

    /** Applies a newer view. */
    void update(FleetView newView) {
        view = newView;
    }

    /** Applies what an instance wrote, none if its key was removed. */
    void applyStored(InstanceId instance, StreamOrigins origins) {
        boolean first = stored.put(instance, origins) == null;
        if (origins.equals(StreamOrigins.NONE)) {
            stored.remove(instance);
        }
        if (first && instance.equals(self)) {
            inherited = origins;
        }
        unlearned.add(origins);
    }

    /** Passes on what was applied, once the view that tells how long streams may be resumed is in force. */
    void learnApplied() {
        unlearned.forEach(memory::learn);
        unlearned.clear();
    }

    /** Forgets what the store holds, since it came back from a copy. */
    void beginEra() {
        stored.clear();
    }

    private boolean severalVersions() {
        return view.resumableServices().stream()
                .anyMatch(service -> VersionHistory.versions(view, service).size() > 1);
    }

    private void write(StreamOrigins begun) {
        Map<StreamId, StreamOrigin> all = new HashMap<>();
        if (context.clock().millis() - startMillis < longestRetentionMillis()) {
            all.putAll(inherited.origins());
        }
        all.putAll(begun.origins());
        StreamOrigins origins = new StreamOrigins(all);
        if (all.isEmpty() || origins.equals(stored.get(self))) {
            return;
        }
        commit(new Txn(List.of(), List.of(Txn.Put.of(key(self), origins.encode())), List.of()));
    }

    private long longestRetentionMillis() {
        return view.resumableServices().stream()
                .mapToLong(view::streamRetentionMillis)
                .max()
                .orElse(0);
    }

    /** Removes the keys of this instance and, at the first one, of those that are gone. */
    private void removeObsolete() {
        boolean first = view.precedingInstances(self) == 0;
        List<String> obsolete = stored.keySet().stream()
                .filter(id -> id.equals(self) || (first && !view.instances().contains(id)))
                .map(StreamOriginRecorder::key)
                .limit(MAX_REMOVALS)
                .toList();
        if (!obsolete.isEmpty()) {
            commit(new Txn(List.of(), List.of(), obsolete));
        }
    }

    private void commit(Txn txn) {
        writing = true;
        store.commit(
                txn,
                reply -> context.timer().schedule(0, () -> {
                    writing = false;
                    reply.peekLeft(fault -> context.events().emit("streams-unwritten", "fault", fault.name()));
                }));
    }

    private static String key(InstanceId instance) {
        return KEY_PREFIX + instance.value();
    }
}
