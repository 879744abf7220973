package org.cuminspur.traffic;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.cuminspur.event.EventSink;
import org.cuminspur.id.InstanceId;
import org.cuminspur.store.Store;
import org.cuminspur.store.StoreEntry;
import org.cuminspur.store.StoreFault;
import org.cuminspur.store.StoreView;
import org.cuminspur.time.Clock;
import org.cuminspur.time.Timer;

/**
 * Keeps a view of the fleet current from the platform's store.
 *
 * <p>Used on the timer's thread only, but for {@link #requestConfirmation} and {@link #storeUnavailable}. One watch brings changes;
 * since a watch that is quiet proves nothing, a small read at intervals tells the store's revision, and all is read
 * again if the watch is behind it. Changes older than what was read before are ignored, so nothing goes back.
 */
public final class FleetWatcher {
    /** Least time between two confirmations, however many requests ask for one. */
    private static final long CONFIRM_GAP_MS = 200;

    /** What the feed needs from its process; immutable. */
    public record Context(Clock clock, Timer timer, ViewFreshness freshness, TrafficBounds bounds, EventSink events) {}

    private final Store store;
    private final FleetUpdateDecoder decoder;
    private final String probeKey;
    private final Context context;
    private final Consumer<FleetView> publish;
    private final FleetState directory = new FleetState();
    private final PromptTableManager prompts;
    private final StoreCallIntervals pace;
    private final StoreAvailability contact;
    private final Map<String, Long> known = new HashMap<>();
    private long appliedRevision;
    private long loadedRevision;
    private long nextConfirmMillis = Long.MIN_VALUE;
    private Store.Watch watch = () -> {};
    private int fleetSize = 1;
    private boolean watching;
    private boolean loading;
    private boolean confirming;

    /**
     * Makes a feed.
     *
     * @param self this instance
     * @param probeKey key whose read serves as confirmation
     * @param publish receives each new view
     */
    public FleetWatcher(
            Store store,
            FleetUpdateDecoder decoder,
            InstanceId self,
            String probeKey,
            Context context,
            Consumer<FleetView> publish) {
        this.store = store;
        this.decoder = decoder;
        this.probeKey = probeKey;
        this.context = context;
        this.publish = publish;
        this.prompts = new PromptTableManager(store, self, context);
        this.pace = new StoreCallIntervals(context.bounds());
        this.contact = new StoreAvailability(context, pace.confirmIntervalMillis(fleetSize), this::returned);
    }

    /** Starts to read. */
    public void start() {
        context.timer().schedule(0, this::load);
        context.timer().schedule(0, prompts::start);
        context.timer().schedule(pace.confirmIntervalMillis(fleetSize), this::confirmRegularly);
    }

    /** Asks for a confirmation at once, unless one has just been tried; may be called on any thread. */
    public void requestConfirmation() {
        context.timer().schedule(0, () -> {
            if (!contact.unavailable() && context.clock().millis() >= nextConfirmMillis) {
                confirm();
            }
        });
    }

    /** Returns whether the store has not answered for a while; may be called on any thread. */
    public boolean storeUnavailable() {
        return contact.unavailable();
    }

    private void confirmRegularly() {
        expire();
        confirm();
        context.timer().schedule(pace.confirmIntervalMillis(fleetSize), this::confirmRegularly);
    }

    private void confirm() {
        if (confirming || loading) {
            return;
        }
        confirming = true;
        nextConfirmMillis = context.clock().millis() + CONFIRM_GAP_MS;
        ViewFreshness.ClockReading began = context.freshness().now();
        store.range(probeKey, reply -> onThread(() -> confirmed(began, reply)));
    }

    private void confirmed(ViewFreshness.ClockReading began, Either<StoreFault, StoreView> reply) {
        confirming = false;
        if (reply.isLeft()) {
            contact.recordFailureAndRetry(this::confirm);
            return;
        }
        contact.recordReply();
        long revision = reply.get().revision();
        if (!watching) {
            load();
        } else if (revision <= appliedRevision) {
            context.freshness().confirm(began);
        } else {
            watch.flush();
            context.timer().schedule(pace.catchUpTimeoutMillis(fleetSize), () -> caughtUp(began, revision));
        }
    }

    private void caughtUp(ViewFreshness.ClockReading began, long revision) {
        if (revision <= appliedRevision) {
            context.freshness().confirm(began);
        } else {
            context.events().emit("watch-behind", "revision", revision, "applied", appliedRevision);
            load();
        }
    }

    private void load() {
        if (loading) {
            return;
        }
        loading = true;
        ViewFreshness.ClockReading began = context.freshness().now();
        store.range("", reply -> onThread(() -> loaded(began, reply)));
    }

    private void loaded(ViewFreshness.ClockReading began, Either<StoreFault, StoreView> reply) {
        loading = false;
        if (reply.isLeft()) {
            contact.recordFailureAndRetry(this::load);
            return;
        }
        contact.recordReply();
        StoreView view = reply.get();
        if (view.revision() >= loadedRevision) {
            replace(view);
            context.freshness().confirm(began);
        }
        watch();
    }

    private void replace(StoreView view) {
        Set<String> gone = new HashSet<>(known.keySet());
        view.entries().forEach(entry -> gone.remove(entry.key()));
        gone.removeIf(key -> known.get(key) > view.revision());
        boolean changed = gone.stream()
                .map(key -> apply(new StoreEntry(key, "", view.revision())))
                .reduce(false, Boolean::logicalOr);
        publishIf(takeAll(view.entries()) | changed);
        loadedRevision = view.revision();
        appliedRevision = Math.max(appliedRevision, view.revision());
        FleetView now = directory.view();
        context.events()
                .emit(
                        "store-read",
                        "storeRevision",
                        view.revision(),
                        "upstreams",
                        now.upstreams().size(),
                        "emptiedDomains",
                        now.drainedDomains().size(),
                        "instances",
                        now.instances().size());
    }

    private void watch() {
        if (!watching) {
            watching = true;
            watch = store.watch(
                    "", appliedRevision, view -> onThread(() -> changed(view)), () -> onThread(this::watchEnded));
            watch.setBatchDelay(pace.batchDelayMillis(fleetSize));
        }
    }

    private void changed(StoreView view) {
        contact.recordReply();
        List<StoreEntry> newer = view.entries().stream()
                .filter(entry -> entry.modRevision() > loadedRevision)
                .toList();
        appliedRevision = Math.max(appliedRevision, view.revision());
        publishIf(takeAll(newer));
    }

    private void watchEnded() {
        watching = false;
        context.events().emit("watch-ended", "applied", appliedRevision);
        load();
    }

    private boolean takeAll(List<StoreEntry> entries) {
        return entries.stream()
                .filter(entry -> known.getOrDefault(entry.key(), 0L) < entry.modRevision())
                .map(this::apply)
                .reduce(false, Boolean::logicalOr);
    }

    private boolean apply(StoreEntry entry) {
        if (entry.value().isEmpty()) {
            known.remove(entry.key());
        } else {
            known.put(entry.key(), entry.modRevision());
        }
        FleetUpdate fact = decoder.decode(entry);
        if (fact instanceof FleetUpdate.Malformed malformed) {
            context.events()
                    .emit(
                            "entry-ignored",
                            "key",
                            entry.key(),
                            "revision",
                            entry.modRevision(),
                            "reason",
                            malformed.reason());
            return take(decoder.decode(new StoreEntry(entry.key(), "", entry.modRevision())), entry);
        }
        return take(fact, entry);
    }

    private boolean take(FleetUpdate fact, StoreEntry entry) {
        if (fact instanceof FleetUpdate.PromptTableStored kept) {
            return prompts.applyStored(kept.service(), kept.table(), entry.modRevision());
        }
        long now = context.clock().millis();
        boolean changed = directory.apply(fact, now, contact.lapsedEntryExpiry(now));
        if (changed && (loadedRevision > 0 || fact instanceof FleetUpdate.ConfigPublished)) {
            FleetChangeEvents.emit(context.events(), fact, entry.modRevision());
        }
        return changed;
    }

    private void returned(long lapsedGoAtMillis) {
        directory.expireLapsedBy(lapsedGoAtMillis);
        context.timer().schedule(lapsedGoAtMillis - context.clock().millis(), this::expire);
    }

    private void expire() {
        publishIf(directory.expire(context.clock().millis()));
    }

    private void publishIf(boolean changed) {
        if (changed) {
            FleetView view = directory.view();
            if (view.instances().size() != fleetSize) {
                fleetSize = view.instances().size();
                watch.setBatchDelay(pace.batchDelayMillis(fleetSize));
                contact.setExpectedInterval(pace.confirmIntervalMillis(fleetSize));
            }
            publish.accept(view.withPromptTables(prompts.reassignOwners(view)));
        }
    }

    private void onThread(Runnable action) {
        context.timer().schedule(0, action);
    }
}
