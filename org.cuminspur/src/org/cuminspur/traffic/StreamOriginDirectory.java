package org.cuminspur.traffic;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.ServiceId;
import org.cuminspur.id.SoftwareVersion;
import org.cuminspur.id.StreamId;
import org.cuminspur.internal.hash.Rendezvous;
import org.cuminspur.time.Clock;
import org.cuminspur.time.Timer;

/**
 * Remembers where streams began, together with the other instances of the fleet, so that a stream can be resumed at any
 * instance.
 *
 * <p>Not thread-safe; confined to the traffic thread. The instance at which a stream begins tells a few others, which
 * the rendezvous order of the stream's id names; these are asked about a stream that is not known here. The number of
 * messages for a stream does not depend on the size of the fleet. Messages may be lost, late or doubled: then an origin
 * may be unknown, but never wrong.
 */
public final class StreamOriginDirectory {
    /** Other instances that are told of a stream: enough to outlive the loss of a failure domain and of some messages. */
    static final int HOLDERS = 3;

    /** Time after which instances that have not answered are asked once more, in case a message was lost. */
    static final long REPEAT_MS = 60;

    /** Longest time to wait for an answer; several round trips between failure domains. */
    static final long LOOKUP_TIMEOUT_MS = 200;

    /** Streams of each instance that the store holds, 1 to 2 KB. */
    static final int MAX_RECORDED = 128;

    /** Sends a message to another instance, perhaps in vain. */
    @FunctionalInterface
    public interface Sender {
        void send(InstanceId to, StreamOriginMessage message);
    }

    /** An instance and the hash of its id; immutable. */
    private record Holder(InstanceId id, long hash) {}

    private static final class Lookup {
        private final List<Consumer<Optional<StreamOrigin>>> waiting = new ArrayList<>();
        private final Set<InstanceId> unanswered = new HashSet<>();
    }

    private final InstanceId self;
    private final Clock clock;
    private final Timer timer;
    private final Sender sender;
    private final StreamOriginTable table = new StreamOriginTable(StreamOriginTable.MAX_STREAMS);

    /** The latest streams that began here. */
    private final StreamOriginTable begun = new StreamOriginTable(MAX_RECORDED);

    private final Map<StreamId, Lookup> lookups = new HashMap<>();
    private List<Holder> others = List.of();
    private FleetView view = FleetView.EMPTY;

    /**
     * Creates a directory that knows no other instance.
     *
     * @param clock never goes back
     */
    public StreamOriginDirectory(InstanceId self, Clock clock, Timer timer, Sender sender) {
        this.self = self;
        this.clock = clock;
        this.timer = timer;
        this.sender = sender;
    }

    /** Applies a newer view of the fleet. */
    public void update(FleetView newView) {
        view = newView;
        others = newView.peers().keySet().stream()
                .filter(id -> !id.equals(self))
                .map(id -> new Holder(id, Rendezvous.hash(id.value())))
                .toList();
    }

    /**
     * Remembers where a stream began and tells the instances that are asked for it.
     *
     * @param retentionMillis how long it may be resumed
     */
    public void record(StreamId stream, StreamOrigin origin, long retentionMillis) {
        table.put(stream, origin, retentionMillis, clock.millis());
        begun.put(stream, origin, retentionMillis, clock.millis());
        StreamOriginMessage message = new StreamOriginMessage.Known(stream, origin, retentionMillis);
        holders(stream).forEach(holder -> sender.send(holder, message));
    }

    /** Returns the latest streams that began at this instance and may be resumed. */
    public StreamOrigins begun() {
        return begun.origins(clock.millis());
    }

    /** Remembers streams that the store holds, as long as any stream of their service may be resumed. */
    public void learn(StreamOrigins origins) {
        long now = clock.millis();
        origins.origins()
                .forEach((stream, origin) ->
                        table.put(stream, origin, view.streamRetentionMillis(origin.service()), now));
    }

    /** Finds where a stream began; the result is passed on at once or within {@link #LOOKUP_TIMEOUT_MS}. */
    public void find(StreamId stream, Consumer<Optional<StreamOrigin>> result) {
        Optional<StreamOrigin> known = table.find(stream, clock.millis());
        List<InstanceId> holders = holders(stream);
        if (known.isPresent() || holders.isEmpty()) {
            result.accept(known);
            return;
        }
        Lookup lookup = lookups.get(stream);
        if (lookup == null) {
            lookup = new Lookup();
            lookups.put(stream, lookup);
            lookup.unanswered.addAll(holders);
            ask(stream, lookup);
            scheduleTimeouts(stream, lookup);
        }
        lookup.waiting.add(result);
    }

    /**
     * Returns the version at which every stream of a service began that may still be resumed, empty if there may be
     * several. This holds for streams that began before a read that confirmed the view.
     */
    public Optional<SoftwareVersion> onlyVersion(ServiceId service) {
        return VersionHistory.onlyVersion(view, service);
    }

    /** Handles a message of another instance. */
    public void receive(InstanceId from, StreamOriginMessage message) {
        if (message instanceof StreamOriginMessage.Known known) {
            table.put(known.stream(), known.origin(), known.retentionMillis(), clock.millis());
            resolve(known.stream(), table.find(known.stream(), clock.millis()));
        } else if (message instanceof StreamOriginMessage.Query query) {
            sender.send(from, answer(query.stream()));
        } else {
            Lookup lookup = lookups.get(message.stream());
            if (lookup != null && lookup.unanswered.remove(from) && lookup.unanswered.isEmpty()) {
                resolve(message.stream(), Optional.empty());
            }
        }
    }

    private StreamOriginMessage answer(StreamId stream) {
        long now = clock.millis();
        return table.find(stream, now)
                .<StreamOriginMessage>map(
                        origin -> new StreamOriginMessage.Known(stream, origin, table.remainingMillis(stream, now)))
                .orElseGet(() -> new StreamOriginMessage.Unknown(stream));
    }

    private void ask(StreamId stream, Lookup lookup) {
        lookup.unanswered.forEach(holder -> sender.send(holder, new StreamOriginMessage.Query(stream)));
    }

    private void scheduleTimeouts(StreamId stream, Lookup lookup) {
        timer.schedule(REPEAT_MS, () -> {
            if (lookups.get(stream) == lookup) {
                ask(stream, lookup);
            }
        });
        timer.schedule(LOOKUP_TIMEOUT_MS, () -> {
            if (lookups.get(stream) == lookup) {
                resolve(stream, Optional.empty());
            }
        });
    }

    private void resolve(StreamId stream, Optional<StreamOrigin> origin) {
        Lookup lookup = lookups.remove(stream);
        if (lookup != null) {
            lookup.waiting.forEach(waiting -> waiting.accept(origin));
        }
    }

    /** Returns the other instances that remember a stream. */
    private List<InstanceId> holders(StreamId stream) {
        return others.stream()
                .sorted(Comparator.comparingLong(holder -> Rendezvous.mix(stream.hash(), holder.hash())))
                .limit(HOLDERS)
                .map(Holder::id)
                .toList();
    }
}
