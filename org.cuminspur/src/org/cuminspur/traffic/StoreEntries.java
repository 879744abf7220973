package org.cuminspur.traffic;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cuminspur.id.InstanceId;
import org.cuminspur.rollout.RolloutManager;
import org.cuminspur.store.Store;
import org.cuminspur.store.StoreEntry;
import org.cuminspur.store.StoreRevision;
import org.cuminspur.store.StoreView;

/**
 * Applies entries of the store to the state of the fleet and to the records that the fleet keeps there, each key's in the
 * order of their revisions.
 *
 * <p>Confined to the timer thread. An entry that cannot be decoded or applied is logged and costs nothing but itself: what
 * its key named before counts as removed, except a configuration, which stays in force.
 */
final class StoreEntries {
    /** A reason may quote the entry, which may hold a megabyte. */
    private static final int MAX_REASON_LENGTH = 200;

    private final FleetUpdateDecoder decoder;
    private final FleetState fleetState = new FleetState();
    private final PromptTableManager promptTables;
    private final ServedVersionRecorder servedVersions;
    private final StreamOriginRecorder streamOrigins;
    private final RolloutManager rollouts;
    private final StoreAvailability availability;
    private final EraSettlement settlement;
    private final FleetWatcher.Context context;
    private final Map<String, StoreRevision> modRevisions = new HashMap<>();
    private boolean read;

    /**
     * Creates records of nothing.
     *
     * @param store to which the records are written
     */
    StoreEntries(
            Store store,
            FleetUpdateDecoder decoder,
            InstanceId self,
            StreamMemory streams,
            RolloutManager rollouts,
            StoreAvailability availability,
            EraSettlement settlement,
            FleetWatcher.Context context) {
        this.decoder = decoder;
        this.promptTables = new PromptTableManager(store, self, context);
        this.servedVersions = new ServedVersionRecorder(store, self, context);
        this.streamOrigins = new StreamOriginRecorder(store, self, context, streams);
        this.rollouts = rollouts;
        this.availability = availability;
        this.settlement = settlement;
        this.context = context;
    }

    /** Starts to maintain the records; may be called on any thread. */
    void start() {
        context.timer().schedule(0, promptTables::start);
        context.timer().schedule(0, servedVersions::start);
        context.timer().schedule(0, streamOrigins::start);
    }

    /** Forgets what the store holds, since it came back from a copy. */
    void beginEra() {
        promptTables.beginEra();
        servedVersions.beginEra();
        streamOrigins.beginEra();
        rollouts.beginEra();
    }

    /** Returns the state of the fleet, without the records. */
    FleetState fleetState() {
        return fleetState;
    }

    /** Returns the view with the records that follow from it. */
    FleetView completeView() {
        FleetView view = fleetState.view();
        FleetView rolledOut = view.withRollouts(rollouts.update(view));
        FleetView complete = rolledOut
                .withPromptTables(promptTables.reassignOwners(rolledOut))
                .withServedVersions(servedVersions.update(rolledOut));
        streamOrigins.update(complete);
        return complete;
    }

    /** Passes on what was applied of streams, once the view that tells how long they may be resumed is in force. */
    void learnStreams() {
        streamOrigins.learnApplied();
    }

    /** Returns the revision that last wrote a key, {@link StoreRevision#NONE} if it is not known. */
    StoreRevision revision(String key) {
        return modRevisions.getOrDefault(key, StoreRevision.NONE);
    }

    /** Records that all keys have been read once; later changes are logged one by one. */
    void recordRead() {
        read = true;
    }

    /** Applies the removal of keys that a read of all keys does not have; returns whether the view changed. */
    boolean applyRemovals(StoreView view) {
        Set<String> removedKeys = new HashSet<>(modRevisions.keySet());
        view.entries().forEach(entry -> removedKeys.remove(entry.key()));
        removedKeys.removeIf(key -> modRevisions.get(key).isAfter(view.revision()));
        return removedKeys.stream()
                .map(key -> apply(new StoreEntry(key, "", view.revision())))
                .reduce(false, Boolean::logicalOr);
    }

    /** Applies entries that are newer than what is known of their keys; returns whether the view changed. */
    boolean applyNewer(List<StoreEntry> entries) {
        // A large configuration takes a small machine some hundred milliseconds, and a series of them may come at once.
        Map<String, StoreRevision> latest = new HashMap<>();
        entries.stream()
                .filter(entry -> decoder.isComplete(entry.key()))
                .forEach(entry -> latest.merge(entry.key(), entry.modRevision(), StoreRevision::max));
        return entries.stream()
                .filter(entry -> entry.modRevision().isAfter(revision(entry.key())))
                .filter(entry ->
                        !latest.getOrDefault(entry.key(), StoreRevision.NONE).isAfter(entry.modRevision()))
                .map(this::apply)
                .reduce(false, Boolean::logicalOr);
    }

    private boolean apply(StoreEntry entry) {
        if (entry.value().isEmpty()) {
            modRevisions.remove(entry.key());
        } else {
            modRevisions.put(entry.key(), entry.modRevision());
        }
        FleetUpdate update = decode(entry);
        if (update instanceof FleetUpdate.Malformed malformed) {
            logIgnored(entry, malformed.reason());
            return tryApply(decode(new StoreEntry(entry.key(), "", entry.modRevision())), entry);
        }
        return tryApply(update, entry);
    }

    private FleetUpdate decode(StoreEntry entry) {
        try {
            return decoder.decode(entry);
        } catch (RuntimeException | StackOverflowError e) {
            return new FleetUpdate.Malformed(e.toString());
        }
    }

    /** Applies an update; if that fails, the other entries must still be applied. */
    private boolean tryApply(FleetUpdate update, StoreEntry entry) {
        try {
            return applyUpdate(update, entry);
        } catch (RuntimeException e) {
            logIgnored(entry, e.toString());
            return false;
        }
    }

    private void logIgnored(StoreEntry entry, String reason) {
        context.events()
                .emit(
                        "entry-ignored",
                        "key",
                        entry.key(),
                        "revision",
                        entry.modRevision().number(),
                        "reason",
                        reason.substring(0, Math.min(MAX_REASON_LENGTH, reason.length())));
    }

    private boolean applyUpdate(FleetUpdate update, StoreEntry entry) {
        if (update instanceof FleetUpdate.PromptTableStored stored) {
            return promptTables.applyStored(
                    stored.service(), stored.table(), entry.modRevision(), settlement.isFromCopy(entry.modRevision()));
        } else if (update instanceof FleetUpdate.VersionsStored versions) {
            return servedVersions.applyStored(versions.service(), versions.versions(), entry.modRevision());
        } else if (update instanceof FleetUpdate.RolloutOrdered ordered) {
            return rollouts.applyOrder(
                    ordered.service(),
                    ordered.order(),
                    entry.value().isEmpty() ? StoreRevision.NONE : entry.modRevision(),
                    settlement.isFromCopy(entry.modRevision()),
                    read);
        } else if (update instanceof FleetUpdate.RolloutStored rollout) {
            return rollouts.applyStored(
                    rollout.service(),
                    rollout.record(),
                    entry.modRevision(),
                    settlement.isFromCopy(entry.modRevision()));
        } else if (update instanceof FleetUpdate.StreamsStored streams) {
            streamOrigins.applyStored(streams.instance(), streams.origins());
            return false;
        } else if (update instanceof FleetUpdate.EraSettled stated) {
            settlement.recordStated(stated.era());
            return false;
        } else if (update instanceof FleetUpdate.ConfigPublished published) {
            settlement.recordConfig(published.config().revision());
        }
        long now = context.clock().millis();
        boolean changed = fleetState.apply(
                update, now, availability.lapsedEntryExpiry(now), settlement.isFromCopy(entry.modRevision()));
        if (changed && (read || update instanceof FleetUpdate.ConfigPublished)) {
            FleetChangeEvents.emit(context.events(), update, entry.modRevision());
        }
        return changed;
    }
}
