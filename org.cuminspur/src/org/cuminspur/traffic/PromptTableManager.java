package org.cuminspur.traffic;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.cuminspur.event.EventSink;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.ServiceId;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.store.Store;
import org.cuminspur.store.StoreFault;
import org.cuminspur.store.StoreRevision;
import org.cuminspur.store.Txn;
import org.cuminspur.time.Clock;
import org.cuminspur.time.Timer;

/**
 * Maintains the prompt tables as upstreams are added and removed, and stores them for new instances.
 *
 * <p>Confined to the timer thread. Every instance reassigns owners at once by the same rule. The first instance by id
 * writes the result to the store; if it does not, the others try one after another. A stored table replaces an
 * instance's own, so that instances that differ agree again. Requests are served without waiting for a write.
 */
public final class PromptTableManager {
    /** Prefix of the store keys of the tables. */
    public static final String KEY_PREFIX = "cuminspur/prompts/";

    /** Time without changes before a first table is stored; upstreams start within a few seconds of each other. */
    private static final long INITIAL_SETTLE_MS = 3_000;

    /** Delay before a write, to batch changes. */
    private static final long WRITE_DELAY_MS = 500;

    /** Added to the delay for each preceding instance; longer than its write takes to reach all instances. */
    private static final long WRITE_DELAY_PER_INSTANCE_MS = 1_500;

    /** Delay after a failed write; the table is used without being stored. */
    private static final long RETRY_MS = 2_000;

    /** Time between moves of prompts to added upstreams. */
    private static final long REBALANCE_INTERVAL_MS = 10_000;

    /** Buckets moved at a time, a hundredth of all, so that caches fill alongside normal requests. */
    private static final int REBALANCE_BUCKETS = 10;

    /** A table as last read from the store; immutable. */
    private record StoredTable(PromptTable table, StoreRevision revision) {}

    private final Store store;
    private final InstanceId self;
    private final Clock clock;
    private final Timer timer;
    private final EventSink events;
    private final Map<ServiceId, PromptTable> tables = new HashMap<>();
    private final Map<ServiceId, StoredTable> stored = new HashMap<>();
    private final Map<ServiceId, Set<UpstreamId>> members = new HashMap<>();
    private final Map<ServiceId, Long> membersChangedMillis = new HashMap<>();
    private final Map<ServiceId, PromptTable> scheduledWrites = new HashMap<>();
    private FleetView view = FleetView.EMPTY;

    /** Creates a manager without tables. */
    PromptTableManager(Store store, InstanceId self, FleetWatcher.Context context) {
        this.store = store;
        this.self = self;
        this.clock = context.clock();
        this.timer = context.timer();
        this.events = context.events();
    }

    /** Starts to move prompts gradually to added upstreams. */
    void start() {
        timer.schedule(REBALANCE_INTERVAL_MS, this::rebalance);
    }

    /** Forgets which tables the store holds, since it came back from a copy; those in use stay and are stored again. */
    void beginEra() {
        stored.replaceAll((service, table) -> new StoredTable(PromptTable.EMPTY, StoreRevision.NONE));
        tables.keySet().stream().filter(stored::containsKey).forEach(this::scheduleWrite);
    }

    /**
     * Applies a table read from the store; returns whether it is newer than the last one.
     *
     * @param fromCopy whether it may be older than the table in use, which then stays
     */
    boolean applyStored(ServiceId service, PromptTable table, StoreRevision revision, boolean fromCopy) {
        StoredTable previous = stored.get(service);
        if (previous != null && !revision.isAfter(previous.revision())) {
            return false;
        }
        stored.put(service, new StoredTable(table, revision));
        if (fromCopy && tables.containsKey(service)) {
            return true;
        }
        tables.put(service, table.withPreviousOwnersFrom(tables.getOrDefault(service, PromptTable.EMPTY)));
        return true;
    }

    /** Returns the tables for a view, with every bucket reassigned whose owner is not in service. */
    Map<ServiceId, PromptTable> reassignOwners(FleetView newView) {
        view = newView;
        Set<ServiceId> services = newView.routes().stream()
                .flatMap(routes -> routes.config().routes().stream())
                .filter(HostRoute::promptAffinity)
                .flatMap(route -> route.weightedServices().stream())
                .map(WeightedService::service)
                .collect(Collectors.toSet());
        tables.keySet().retainAll(services);
        services.forEach(this::reassignOwners);
        return Map.copyOf(tables);
    }

    private void reassignOwners(ServiceId service) {
        Set<UpstreamId> currentMembers = view.upstreams().values().stream()
                .filter(entry -> entry.service().equals(service)
                        && !entry.draining()
                        && view.serves(service, entry.version())
                        && !view.drainedDomains().contains(entry.domain()))
                .map(UpstreamEntry::id)
                .collect(Collectors.toSet());
        if (!currentMembers.equals(members.put(service, currentMembers))) {
            membersChangedMillis.put(service, clock.millis());
        }
        // Until a first table is stored, no cache can be lost, so buckets are assigned evenly from scratch.
        PromptTable previous = stored.containsKey(service) ? tables.get(service) : PromptTable.EMPTY;
        tables.put(service, previous.reassigned(currentMembers));
        scheduleWrite(service);
    }

    private void scheduleWrite(ServiceId service) {
        PromptTable table = tables.get(service);
        if (!differsFromStored(service) || table.equals(scheduledWrites.put(service, table))) {
            return;
        }
        long settleMillis = stored.containsKey(service)
                ? 0
                : Math.max(0, membersChangedMillis.get(service) + INITIAL_SETTLE_MS - clock.millis());
        // Who precedes this instance is known once those that start with it have registered.
        timer.schedule(
                settleMillis + WRITE_DELAY_MS,
                () -> timer.schedule(view.precedingInstances(self) * WRITE_DELAY_PER_INSTANCE_MS, () -> {
                    // If the table has changed since, that change has scheduled its own write.
                    if (table.equals(scheduledWrites.get(service))) {
                        scheduledWrites.remove(service);
                        writeIfDiffers(service);
                    }
                }));
    }

    private void writeIfDiffers(ServiceId service) {
        if (differsFromStored(service)) {
            write(service, tables.get(service));
        }
    }

    private boolean differsFromStored(ServiceId service) {
        StoredTable storedTable = stored.get(service);
        return members.containsKey(service)
                && !members.get(service).isEmpty()
                && (storedTable == null || !storedTable.table().equals(tables.get(service)));
    }

    private void write(ServiceId service, PromptTable table) {
        StoreRevision revision = Optional.ofNullable(stored.get(service))
                .map(StoredTable::revision)
                .orElse(StoreRevision.NONE);
        Txn txn = Txn.compareAndSwap(KEY_PREFIX + service.value(), revision, table.encode());
        store.commit(
                txn,
                reply -> timer.schedule(0, () -> {
                    events.emit(
                            "prompt-table-written",
                            "service",
                            service.value(),
                            "after",
                            revision.number(),
                            "outcome",
                            reply.fold(StoreFault::name, result -> result.succeeded() ? "done" : "overtaken"));
                    if (reply.isLeft()) {
                        timer.schedule(RETRY_MS, () -> writeIfDiffers(service));
                    }
                }));
    }

    private void rebalance() {
        timer.schedule(REBALANCE_INTERVAL_MS, this::rebalance);
        boolean first = view.instances().stream().findFirst().map(self::equals).orElse(false);
        if (first) {
            stored.keySet().stream().filter(tables::containsKey).toList().forEach(service -> {
                PromptTable rebalanced = tables.get(service).rebalanced(members.get(service), REBALANCE_BUCKETS);
                if (!rebalanced.equals(tables.get(service))) {
                    write(service, rebalanced);
                }
            });
        }
    }
}
