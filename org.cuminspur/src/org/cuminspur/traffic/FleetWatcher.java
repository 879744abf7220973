package org.cuminspur.traffic;

import io.vavr.control.Either;
import java.util.List;
import java.util.function.Consumer;
import org.cuminspur.event.EventSink;
import org.cuminspur.id.InstanceId;
import org.cuminspur.rollout.RolloutManager;
import org.cuminspur.rollout.RolloutSupport;
import org.cuminspur.store.PolledStore;
import org.cuminspur.store.StoreChanges;
import org.cuminspur.store.StoreEntry;
import org.cuminspur.store.StoreFault;
import org.cuminspur.store.StoreRevision;
import org.cuminspur.store.StoreView;
import org.cuminspur.time.Clock;
import org.cuminspur.time.Timer;

/**
 * Keeps a view of the fleet up to date with the platform's store.
 *
 * <p>Confined to the timer thread, except {@link #start}, {@link #requestConfirmation}, {@link #lastConfirmation} and
 * {@link #expectsNoConfirmation}. A periodic call reads the changes since the last one, together with the store's revision;
 * if they reach up to it, the call confirms the view as of its start. If they stay behind it for a while, or the store has
 * dropped some of them, everything is read again. Changes older than an earlier read are ignored, so the view never goes
 * back.
 *
 * <p>If the store came back from a copy, all is read at once, and entries in it are applied as far as they take nothing
 * back. Keys that are missing are taken for removed only once the era is settled, and nothing is confirmed before.
 */
public final class FleetWatcher {
    /** Key under which an instance states the latest era that it found settled. */
    public static final String ERA_KEY = EraSettlement.KEY;

    /** Prefix of the keys of {@link ServedVersions}, which end with the service. */
    public static final String VERSIONS_PREFIX = ServedVersionRecorder.KEY_PREFIX;

    /** Prefix of the keys of {@link StreamOrigins}, which end with the instance. */
    public static final String STREAMS_PREFIX = StreamOriginRecorder.KEY_PREFIX;

    /** Time after the start of a call for changes in which requests for another are ignored. */
    private static final long MIN_POLL_INTERVAL_MS = 200;

    /** Time after which the store is asked again for changes that it did not give. */
    private static final long BEHIND_POLL_MS = 150;

    /** Time from the start of a call for changes after which its reply is logged. */
    private static final long LATE_REPLY_MS = 500;

    /** Time over which the instances of a fleet spread reads of all keys, as a share of their interval. */
    private static final double READ_SPREAD_SHARE = 0.5;

    /** What the watcher needs from its process; immutable. */
    public record Context(Clock clock, Timer timer, ViewFreshness freshness, TrafficBounds bounds, EventSink events) {}

    private final PolledStore store;
    private final Context context;
    private final Consumer<FleetView> onViewChanged;
    private final Consumer<ViewFreshness.ClockReading> onConfirmed;
    private final FleetState fleetState;
    private final StoreCallIntervals callIntervals;
    private final StoreAvailability availability;
    private final ConfirmationLog confirmations;
    private final EraSettlement settlement;
    private final ReadPacer pacer;
    private final StoreEntries entries;
    private final EraStatement statement;
    private StoreRevision appliedRevision = StoreRevision.NONE;
    private StoreRevision loadedRevision = StoreRevision.NONE;
    private long nextPollMillis = Long.MIN_VALUE;
    private long behindSinceMillis = Long.MAX_VALUE;
    private int fleetSize = 1;
    private boolean loaded;
    private boolean loading;
    private boolean loadScheduled;
    private boolean polling;

    /**
     * Creates a watcher whose views take effect as they are passed on.
     *
     * @param self this instance
     * @param onViewChanged receives each new view
     */
    public FleetWatcher(
            PolledStore store,
            FleetUpdateDecoder decoder,
            InstanceId self,
            Context context,
            Consumer<FleetView> onViewChanged) {
        this(
                store,
                decoder,
                self,
                context,
                onViewChanged,
                context.freshness()::confirm,
                StreamMemory.NONE,
                RolloutSupport.NONE);
    }

    /**
     * Creates a watcher.
     *
     * @param self this instance
     * @param onViewChanged receives each new view
     * @param onConfirmed receives the start of each read that confirms the views passed on before; must confirm the
     *     freshness only once they are in force
     * @param streams what is remembered of streams, of which the store holds a part while several versions serve
     * @param rollouts what roll-outs need of the platform and of the traffic
     */
    public FleetWatcher(
            PolledStore store,
            FleetUpdateDecoder decoder,
            InstanceId self,
            Context context,
            Consumer<FleetView> onViewChanged,
            Consumer<ViewFreshness.ClockReading> onConfirmed,
            StreamMemory streams,
            RolloutSupport rollouts) {
        this.store = store;
        this.context = context;
        this.onViewChanged = onViewChanged;
        this.onConfirmed = onConfirmed;
        this.settlement = new EraSettlement(context.bounds().reregistrationGraceMillis());
        this.pacer = new ReadPacer(self);
        this.confirmations = new ConfirmationLog(context.events());
        this.callIntervals = new StoreCallIntervals(context.bounds());
        this.availability =
                new StoreAvailability(context, callIntervals.pollIntervalMillis(fleetSize), this::onStoreReturned);
        RolloutManager rolloutManager =
                new RolloutManager(store, context, rollouts.keys(), rollouts.traffic(), this::requestConfirmation);
        this.entries =
                new StoreEntries(store, decoder, self, streams, rolloutManager, availability, settlement, context);
        this.fleetState = entries.fleetState();
        this.statement = new EraStatement(store, self, settlement, entries::revision, context);
    }

    /** Starts reading the store; may be called on any thread. */
    public void start() {
        context.timer().schedule(0, this::load);
        entries.start();
        context.timer().schedule(callIntervals.pollIntervalMillis(fleetSize), this::pollPeriodically);
    }

    /**
     * Requests an immediate confirmation, unless one was just started or none is to be expected.
     *
     * <p>May be called on any thread.
     */
    public void requestConfirmation() {
        context.timer().schedule(0, () -> {
            if (!expectsNoConfirmation() && context.clock().millis() >= nextPollMillis) {
                poll();
            }
        });
    }

    /**
     * Returns whether the view cannot be confirmed now, since the store does not answer or has come back from a copy and
     * writers have not had time to write again what it lost.
     *
     * <p>May be called on any thread.
     */
    public boolean expectsNoConfirmation() {
        return availability.unavailable() || !settlement.settled();
    }

    /** Returns what confirmed the view last; may be called on any thread. */
    public ViewConfirmation lastConfirmation() {
        return confirmations.last();
    }

    private void pollPeriodically() {
        context.timer().schedule(callIntervals.pollIntervalMillis(fleetSize), this::pollPeriodically);
        expireLapsed();
        // A call that was requested meanwhile makes this one needless, unless it leaves a gap.
        if (context.clock().millis() >= nextPollMillis) {
            poll();
        }
    }

    private void poll() {
        if (polling || loading || loadScheduled) {
            return;
        }
        if (!loaded) {
            load();
            return;
        }
        polling = true;
        nextPollMillis = context.clock().millis() + MIN_POLL_INTERVAL_MS;
        ViewFreshness.ClockReading readStart = context.freshness().now();
        store.changes("", appliedRevision, reply -> runOnTimerThread(() -> onChangesReply(readStart, reply)));
    }

    private void onChangesReply(ViewFreshness.ClockReading readStart, Either<StoreFault, StoreChanges> reply) {
        polling = false;
        if (reply.isLeft()) {
            availability.recordFailureAndRetry(this::poll);
            return;
        }
        availability.recordReply(readStart.steadyMillis());
        StoreChanges changes = reply.get();
        emitIfLate(readStart, changes);
        if (settlement.isEarlierEra(changes.revision())) {
            return;
        }
        if (settlement.isLaterEra(changes.revision()) || !changes.complete()) {
            // An era is noticed by each instance at its own time; dropped changes by those that are behind alike.
            loadAfter(pacer.delay(context.clock().millis(), changes.complete() ? 0 : readSpreadMillis()));
            return;
        }
        applyChanges(changes);
        if (isSettlementDue()) {
            load();
        } else if (!changes.revision().isAfter(appliedRevision)) {
            behindSinceMillis = Long.MAX_VALUE;
            recordConfirmed(readStart, changes.revision(), ViewConfirmation.Source.CHANGES);
        } else {
            catchUp(changes.revision());
        }
    }

    private void emitIfLate(ViewFreshness.ClockReading readStart, StoreChanges changes) {
        long millis = context.clock().millis() - readStart.steadyMillis();
        if (millis >= LATE_REPLY_MS) {
            context.events()
                    .emit(
                            "changes-late",
                            "millis",
                            millis,
                            "revision",
                            changes.revision().number(),
                            "applied",
                            appliedRevision.number(),
                            "entries",
                            changes.entries().size());
        }
    }

    private void applyChanges(StoreChanges changes) {
        List<StoreEntry> newer = changes.entries().stream()
                .filter(entry -> entry.modRevision().isAfter(loadedRevision))
                .toList();
        appliedRevision =
                changes.entries().stream().map(StoreEntry::modRevision).reduce(appliedRevision, StoreRevision::max);
        publishIfChanged(entries.applyNewer(newer));
        entries.learnStreams();
    }

    /** Asks again for changes that the store did not give, and reads everything if it still does not. */
    private void catchUp(StoreRevision revision) {
        long now = context.clock().millis();
        behindSinceMillis = Math.min(behindSinceMillis, now);
        if (now - behindSinceMillis < callIntervals.catchUpTimeoutMillis(fleetSize)) {
            context.timer().schedule(BEHIND_POLL_MS, this::poll);
        } else {
            context.events().emit("changes-behind", "revision", revision.number(), "applied", appliedRevision.number());
            load();
        }
    }

    private void recordConfirmed(
            ViewFreshness.ClockReading readStart, StoreRevision revision, ViewConfirmation.Source source) {
        if (!settlement.settled()) {
            return;
        }
        onConfirmed.accept(readStart);
        confirmations.record(new ViewConfirmation(fleetState.revision(), revision, source, readStart.steadyMillis()));
    }

    private void load() {
        if (loading) {
            return;
        }
        loading = true;
        ViewFreshness.ClockReading readStart = context.freshness().now();
        store.range("", reply -> runOnTimerThread(() -> onLoadReply(readStart, reply)));
    }

    private void onLoadReply(ViewFreshness.ClockReading readStart, Either<StoreFault, StoreView> reply) {
        loading = false;
        if (reply.isLeft()) {
            availability.recordFailureAndRetry(this::load);
            return;
        }
        availability.recordReply(readStart.steadyMillis());
        StoreView view = reply.get();
        behindSinceMillis = Long.MAX_VALUE;
        if (!loadedRevision.isAfter(view.revision())) {
            if (settlement.isLaterEra(view.revision())) {
                beginEra(view.revision());
            }
            applySnapshot(view);
            recordConfirmed(readStart, view.revision(), ViewConfirmation.Source.READ);
        }
    }

    private void beginEra(StoreRevision firstRead) {
        boolean continues = loadedRevision.isAfter(StoreRevision.NONE);
        settlement.begin(firstRead, continues, context.clock().millis());
        context.events()
                .emit(
                        "store-era-begun",
                        "era",
                        firstRead.era(),
                        "revision",
                        firstRead.number(),
                        "before",
                        loadedRevision.era());
        if (continues) {
            availability.recordRestored();
            entries.beginEra();
        }
        long graceMillis = settlement.graceEndMillis() - context.clock().millis();
        context.timer().schedule(graceMillis + pacer.spread(readSpreadMillis()), () -> {
            if (isSettlementDue()) {
                load();
            }
        });
    }

    private boolean isSettlementDue() {
        return settlement.isDue(fleetState.revision(), context.clock().millis());
    }

    private void applySnapshot(StoreView view) {
        boolean changed = entries.applyNewer(view.entries());
        if (isSettlementDue()) {
            settle();
        }
        changed |= settlement.settled() && entries.applyRemovals(view);
        publishIfChanged(changed);
        entries.learnStreams();
        loadedRevision = view.revision();
        loaded = true;
        entries.recordRead();
        appliedRevision = appliedRevision.max(view.revision());
        FleetView current = fleetState.view();
        context.events()
                .emit(
                        "store-read",
                        "storeRevision",
                        view.revision().number(),
                        "upstreams",
                        current.upstreams().size(),
                        "emptiedDomains",
                        current.drainedDomains().size(),
                        "instances",
                        current.instances().size());
    }

    private void settle() {
        settlement.settle();
        context.events().emit("store-era-settled", "era", settlement.era(), "stated", settlement.isStated());
        statement.schedule(fleetState.view());
    }

    private void loadAfter(long delayMillis) {
        if (!loadScheduled) {
            loadScheduled = true;
            context.timer().schedule(delayMillis, () -> {
                loadScheduled = false;
                load();
            });
        }
    }

    private long readSpreadMillis() {
        return (long) (READ_SPREAD_SHARE * callIntervals.pollIntervalMillis(fleetSize));
    }

    private void onStoreReturned(long lapsedExpiryMillis) {
        fleetState.expireLapsedBy(lapsedExpiryMillis);
        context.timer().schedule(lapsedExpiryMillis - context.clock().millis(), this::expireLapsed);
    }

    private void expireLapsed() {
        publishIfChanged(fleetState.expire(context.clock().millis()));
    }

    private void publishIfChanged(boolean changed) {
        if (changed) {
            FleetView view = fleetState.view();
            if (view.instances().size() != fleetSize) {
                fleetSize = view.instances().size();
                availability.setExpectedInterval(callIntervals.pollIntervalMillis(fleetSize));
            }
            onViewChanged.accept(entries.completeView());
        }
    }

    private void runOnTimerThread(Runnable action) {
        context.timer().schedule(0, action);
    }
}
