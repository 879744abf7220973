package org.cuminspur.rollout;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.cuminspur.id.ServiceId;
import org.cuminspur.id.SoftwareVersion;
import org.cuminspur.store.Store;
import org.cuminspur.store.StoreRevision;
import org.cuminspur.traffic.FleetView;
import org.cuminspur.traffic.FleetWatcher;
import org.cuminspur.traffic.UpstreamEntry;

/**
 * Moves services to other software versions as operators order, phase by phase.
 *
 * <p>Confined to the timer thread. The store holds the phase; it is written by compare-and-swap on the order and on the
 * phase before, so two instances that both decide cannot both succeed, and a decision on an order that has changed has no
 * effect. The instance that collects the evidence decides; if it does not, others follow one after another. Without an
 * open roll-out nothing is scheduled and no call is made.
 */
public final class RolloutManager {
    /** Prefix of the keys of the records, which end with the service. */
    public static final String KEY_PREFIX = "cuminspur/rollouts/";

    /** Interval between decisions. */
    static final long CHECK_INTERVAL_MS = 200;

    /** Delay for each preceding instance; a write is announced to all, so it is mostly noticed within it. */
    static final long DELAY_PER_RANK_MS = 300;

    /** Time after which the record of a roll-out whose order was removed goes too; its upstreams have left by then. */
    private static final long RETENTION_MS = 30_000;

    /** Interval between messages that stop a target. */
    private static final long STOP_INTERVAL_MS = 1_000;

    /** Longest time for which an order may have stood before it was noticed by an instance that runs. */
    private static final long MAX_NOTICE_MS = 3_000;

    /** A decision that waits for its turn; immutable. */
    private record Due(RolloutPhase phase, long sinceMillis) {}

    private final FleetWatcher.Context context;
    private final RolloutTraffic traffic;
    private final RolloutWriter writer;
    private final Map<ServiceId, RolloutTracker> trackers = new HashMap<>();
    private final Map<ServiceId, Due> due = new HashMap<>();
    private final Map<ServiceId, Long> stoppedMillis = new HashMap<>();
    private final Map<ServiceId, Long> orderRemovedMillis = new HashMap<>();
    private final WarmupTracker warmups = new WarmupTracker();
    private FleetView view = FleetView.EMPTY;
    private boolean scheduled;

    /**
     * Creates a manager without roll-outs.
     *
     * @param poll reads the changes of the store soon
     */
    public RolloutManager(
            Store store, FleetWatcher.Context context, RolloutKeys keys, RolloutTraffic traffic, Runnable poll) {
        this.context = context;
        this.traffic = traffic;
        this.writer = new RolloutWriter(store, context, keys, written -> {
            poll.run();
            written.ifPresent(record -> traffic.announceChange(id(record)));
        });
    }

    /** Forgets what the store holds, since it came back from a copy; what is known stays and is written again. */
    public void beginEra() {
        trackers.values().forEach(RolloutTracker::beginEra);
    }

    /**
     * Applies an order read from the store, empty if it was removed or cannot be read.
     *
     * @param revision the revision of the order's key, {@link StoreRevision#NONE} if it was removed
     * @param live whether it was given while this instance watched
     */
    public boolean applyOrder(
            ServiceId service, Optional<RolloutOrder> order, StoreRevision revision, boolean fromCopy, boolean live) {
        RolloutTracker tracker = tracker(service);
        long now = context.clock().millis();
        if (order.isEmpty()) {
            tracker.removeOrder(revision);
            orderRemovedMillis.put(service, now);
        } else {
            orderRemovedMillis.remove(service);
            long age = live ? Math.min(MAX_NOTICE_MS, context.freshness().ageMillis()) : ageByRecord(tracker);
            tracker.applyOrder(order.get(), revision, fromCopy, now - age);
        }
        writer.emit("rollout-ordered", service, order, "removed", order.isEmpty());
        return true;
    }

    /** Returns how long ago the roll-out in progress was ordered, by the wall clocks; 0 if there is none. */
    private long ageByRecord(RolloutTracker tracker) {
        long wallMillis = context.freshness().now().wallMillis();
        return tracker.last()
                .filter(last -> !last.phase().isFinal())
                .map(last -> Math.max(0, wallMillis - last.startedWallMillis()))
                .orElse(0L);
    }

    /** Applies a record read from the store, empty if it was removed; returns whether the view changes. */
    public boolean applyStored(
            ServiceId service, Optional<RolloutRecord> record, StoreRevision revision, boolean fromCopy) {
        RolloutTracker tracker = tracker(service);
        if (record.isEmpty()) {
            tracker.removeStored();
            return true;
        }
        boolean changed = tracker.applyStored(
                record.get(), revision, fromCopy, context.clock().millis());
        if (changed) {
            due.remove(service);
            writer.recordRead(service);
            writer.emit(
                    "rollout-phase",
                    service,
                    Optional.of(record.get().order()),
                    "phase",
                    record.get().phase().name());
        }
        return changed;
    }

    private RolloutTracker tracker(ServiceId service) {
        return trackers.computeIfAbsent(service, RolloutTracker::new);
    }

    /** Applies a newer view; returns what is known of the roll-outs, by service. */
    public Map<ServiceId, RolloutView> update(FleetView newView) {
        view = newView;
        warmups.update(newView, context.clock().millis());
        trackers.values().removeIf(RolloutTracker::isEmpty);
        schedule();
        return trackers.values().stream()
                .flatMap(tracker -> rolloutView(tracker).stream())
                .collect(Collectors.toMap(rollout -> rollout.order().service(), rollout -> rollout));
    }

    private Optional<RolloutView> rolloutView(RolloutTracker tracker) {
        long now = context.clock().millis();
        Optional<RolloutRecord> current = tracker.current();
        Optional<RolloutOrder> order = tracker.order().or(() -> current.map(RolloutRecord::order));
        return order.map(given -> new RolloutView(
                given,
                current.map(RolloutManager::id).orElse(0L),
                current.map(RolloutRecord::phase),
                excluded(tracker, given, current),
                now - tracker.startMillis(),
                now));
    }

    private static long id(RolloutRecord record) {
        return RolloutView.id(record.order(), record.startedWallMillis());
    }

    private Set<SoftwareVersion> excluded(RolloutTracker tracker, RolloutOrder order, Optional<RolloutRecord> current) {
        if (current.filter(record -> record.phase() == RolloutPhase.COMPLETED).isPresent()) {
            // A later release may bring one of them back without an order; callers are served before they are refused.
            boolean othersServe = !current.get().excluded().containsAll(versions(order.service()));
            return othersServe ? current.get().excluded() : Set.of();
        } else if (current.filter(record -> record.phase() != RolloutPhase.CANARY)
                .isPresent()) {
            return current.get().excluded();
        }
        Set<SoftwareVersion> excluded =
                new HashSet<>(current.map(RolloutRecord::excluded).orElseGet(tracker::excludedAtBegin));
        if (current.isPresent() || !isAlone(order)) {
            excluded.add(order.target());
        }
        return excluded;
    }

    /** Returns whether the target is the only version of its service. */
    private boolean isAlone(RolloutOrder order) {
        Set<SoftwareVersion> versions = versions(order.service());
        return versions.equals(Set.of(order.target()));
    }

    private Set<SoftwareVersion> versions(ServiceId service) {
        return view.upstreams().values().stream()
                .filter(entry -> entry.service().equals(service))
                .map(UpstreamEntry::version)
                .collect(Collectors.toSet());
    }

    private void schedule() {
        if (!scheduled && trackers.values().stream().anyMatch(this::isActive)) {
            scheduled = true;
            context.timer().schedule(CHECK_INTERVAL_MS, this::check);
        }
    }

    private boolean isActive(RolloutTracker tracker) {
        boolean open = tracker.order().isPresent()
                ? !tracker.isEnded()
                : tracker.last().isPresent();
        return open || tracker.isStoreBehind();
    }

    private void check() {
        scheduled = false;
        trackers.values().stream().filter(this::isActive).toList().forEach(tracker -> {
            long id = tracker.current().map(RolloutManager::id).orElse(0L);
            traffic.assess(
                    tracker.service(),
                    id,
                    assessment -> context.timer().schedule(0, () -> decide(tracker, id, assessment)));
        });
        schedule();
    }

    private void decide(RolloutTracker tracker, long id, RolloutAssessment assessment) {
        if (id != tracker.current().map(RolloutManager::id).orElse(0L)) {
            return;
        }
        Optional<RolloutRecord> next = nextRecord(tracker, assessment);
        if (next.isEmpty()) {
            due.remove(tracker.service());
            removeIfObsolete(tracker, assessment.rank());
            return;
        }
        long now = context.clock().millis();
        RolloutPhase phase = next.get().phase();
        Due waiting = due.get(tracker.service());
        if (waiting == null || waiting.phase() != phase) {
            waiting = new Due(phase, now);
            due.put(tracker.service(), waiting);
        }
        if (phase == RolloutPhase.REVERTED && assessment.rank() < RolloutMonitor.COLLECTORS && !tracker.isEnded()) {
            stopTarget(tracker.service(), id, now);
        }
        long delayMillis = Math.min(assessment.rank(), view.instances().size()) * DELAY_PER_RANK_MS;
        if (now - waiting.sinceMillis() >= delayMillis) {
            writer.write(tracker, next.get(), assessment, view.instances().size());
        }
    }

    /** Stops the target before the store says so; messages may be lost, so this is repeated as long as it does not. */
    private void stopTarget(ServiceId service, long id, long nowMillis) {
        if (nowMillis - stoppedMillis.getOrDefault(service, Long.MIN_VALUE / 2) >= STOP_INTERVAL_MS) {
            stoppedMillis.put(service, nowMillis);
            traffic.stopTarget(service, id);
        }
    }

    /** Removes the record of a roll-out whose order is gone, once its upstreams have left. */
    private void removeIfObsolete(RolloutTracker tracker, int rank) {
        long now = context.clock().millis();
        if (tracker.order().isPresent() || tracker.last().isEmpty()) {
            return;
        }
        long goneMillis = now - orderRemovedMillis.computeIfAbsent(tracker.service(), absent -> now);
        if (goneMillis >= RETENTION_MS + rank * DELAY_PER_RANK_MS) {
            writer.remove(tracker);
        }
    }

    /** Returns the record to write now, empty if the one in the store still holds. */
    private Optional<RolloutRecord> nextRecord(RolloutTracker tracker, RolloutAssessment assessment) {
        Optional<RolloutRecord> current = tracker.current();
        Optional<RolloutOrder> order = tracker.order().or(() -> current.map(RolloutRecord::order));
        if (order.isEmpty()) {
            return Optional.empty();
        }
        RolloutFacts facts = facts(tracker, order.get(), current, assessment);
        Optional<RolloutPhase> next =
                RolloutDecision.next(facts, RolloutSchedule.of(order.get().durationMillis()));
        if (next.isEmpty()) {
            return tracker.isStoreBehind() ? current : Optional.empty();
        }
        RolloutRecord base = current.orElseGet(() -> new RolloutRecord(
                order.get(),
                tracker.orderRevision(),
                next.get(),
                context.freshness().now().wallMillis() - (context.clock().millis() - tracker.startMillis()),
                tracker.excludedAtBegin()));
        return Optional.of(new RolloutRecord(
                base.order(),
                tracker.orderRevision(),
                next.get(),
                base.startedWallMillis(),
                excludedIn(next.get(), base)));
    }

    private Set<SoftwareVersion> excludedIn(RolloutPhase phase, RolloutRecord base) {
        Set<SoftwareVersion> excluded = new HashSet<>(base.excluded());
        SoftwareVersion target = base.order().target();
        switch (phase) {
            case PROMOTING, COMPLETED -> excluded.addAll(versions(base.order().service()));
            case REVERTED -> {
                // Those that the target was to replace serve on.
                if (base.phase() == RolloutPhase.PROMOTING) {
                    excluded.removeAll(versions(base.order().service()));
                }
            }
            default -> {}
        }
        if (phase == RolloutPhase.REVERTED) {
            excluded.add(target);
        } else {
            excluded.remove(target);
        }
        return excluded;
    }

    private RolloutFacts facts(
            RolloutTracker tracker, RolloutOrder order, Optional<RolloutRecord> current, RolloutAssessment assessment) {
        long now = context.clock().millis();
        List<UpstreamEntry> upstreams = view.upstreams().values().stream()
                .filter(entry -> entry.service().equals(order.service()))
                .filter(entry -> !entry.draining() && !view.drainedDomains().contains(entry.domain()))
                .toList();
        int target = (int) upstreams.stream()
                .filter(entry -> entry.version().equals(order.target()))
                .filter(entry -> warmups.isWarm(entry, now))
                .count();
        int others = (int) upstreams.stream()
                .filter(entry -> !entry.version().equals(order.target()))
                .count();
        boolean known = view.routes()
                .map(routes -> routes.config().services().containsKey(order.service()))
                .orElse(true);
        return new RolloutFacts(
                current.map(RolloutRecord::phase),
                tracker.order().isPresent(),
                known,
                isAlone(order),
                target,
                others,
                view.instances().size(),
                now - tracker.startMillis(),
                now - tracker.phaseSinceMillis(),
                assessment);
    }
}
