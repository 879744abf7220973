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
import org.cuminspur.store.Txn;
import org.cuminspur.time.Clock;
import org.cuminspur.time.Timer;

/**
 * Keeps the tables of prompts, heals them as upstreams come and go, and has them stored for instances that start.
 *
 * <p>Used on the timer's thread. Every instance heals its tables at once by the same rule; the one that comes first in
 * the order of ids writes the result to the store, and the others follow one by one should it not. A stored table
 * replaces an instance's own, so that all agree again after a difference. No write is needed to serve.
 */
public final class PromptTableManager {
    /** Prefix of the keys that hold the tables. */
    public static final String KEY_PREFIX = "cuminspur/prompts/";

    /** Time without change after which a first table is stored; upstreams start within a few seconds. */
    private static final long SETTLED_MS = 3_000;

    /** Pause before a write, in which more changes gather. */
    private static final long GATHER_MS = 500;

    /** Further pause for each instance that goes first; longer than its write takes to be seen by all. */
    private static final long TURN_MS = 1_500;

    /** Pause after a write that failed; the table serves without being stored. */
    private static final long RETRY_MS = 2_000;

    /** Time between moves of prompts to upstreams that were added. */
    private static final long EVEN_EVERY_MS = 10_000;

    /** Buckets that move at once, a hundredth of all, so that caches fill beside the usual work. */
    private static final int EVEN_BUCKETS = 10;

    /** A table as it was last seen in the store; immutable. */
    private record Stored(PromptTable table, long revision) {}

    private final Store store;
    private final InstanceId self;
    private final Clock clock;
    private final Timer timer;
    private final EventSink events;
    private final Map<ServiceId, PromptTable> tables = new HashMap<>();
    private final Map<ServiceId, Stored> stored = new HashMap<>();
    private final Map<ServiceId, Set<UpstreamId>> members = new HashMap<>();
    private final Map<ServiceId, Long> changedMillis = new HashMap<>();
    private final Map<ServiceId, PromptTable> planned = new HashMap<>();
    private FleetView view = FleetView.EMPTY;

    /** Makes an empty set of tables. */
    PromptTableManager(Store store, InstanceId self, FleetWatcher.Context context) {
        this.store = store;
        this.self = self;
        this.clock = context.clock();
        this.timer = context.timer();
        this.events = context.events();
    }

    /** Starts to move prompts to upstreams that were added, little by little. */
    void start() {
        timer.schedule(EVEN_EVERY_MS, this::even);
    }

    /** Takes a table from the store; returns whether it is news. */
    boolean applyStored(ServiceId service, PromptTable table, long revision) {
        Stored before = stored.get(service);
        if (before != null && before.revision() >= revision) {
            return false;
        }
        stored.put(service, new Stored(table, revision));
        tables.put(service, table.withPreviousOwnersFrom(tables.getOrDefault(service, PromptTable.EMPTY)));
        return true;
    }

    /** Returns the tables for a view, healed. */
    Map<ServiceId, PromptTable> reassignOwners(FleetView newer) {
        view = newer;
        Set<ServiceId> services = newer.routes().stream()
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
        Set<UpstreamId> now = view.upstreams().values().stream()
                .filter(entry -> entry.service().equals(service)
                        && !entry.draining()
                        && !view.drainedDomains().contains(entry.domain()))
                .map(UpstreamEntry::id)
                .collect(Collectors.toSet());
        if (!now.equals(members.put(service, now))) {
            changedMillis.put(service, clock.millis());
        }
        // Until a first table is stored no prompt has a place to lose, so the upstreams share evenly.
        PromptTable before = stored.containsKey(service) ? tables.get(service) : PromptTable.EMPTY;
        tables.put(service, before.reassigned(now));
        planWrite(service);
    }

    private void planWrite(ServiceId service) {
        PromptTable table = tables.get(service);
        if (!differs(service) || table.equals(planned.put(service, table))) {
            return;
        }
        long settle =
                stored.containsKey(service) ? 0 : Math.max(0, changedMillis.get(service) + SETTLED_MS - clock.millis());
        long before =
                view.instances().stream().takeWhile(id -> !id.equals(self)).count();
        timer.schedule(settle + GATHER_MS + before * TURN_MS, () -> {
            // A later change has planned a write of its own.
            if (table.equals(planned.get(service))) {
                planned.remove(service);
                writeIfDiffers(service);
            }
        });
    }

    private void writeIfDiffers(ServiceId service) {
        if (differs(service)) {
            write(service, tables.get(service));
        }
    }

    private boolean differs(ServiceId service) {
        Stored held = stored.get(service);
        return members.containsKey(service)
                && !members.get(service).isEmpty()
                && (held == null || !held.table().equals(tables.get(service)));
    }

    private void write(ServiceId service, PromptTable table) {
        long revision =
                Optional.ofNullable(stored.get(service)).map(Stored::revision).orElse(0L);
        Txn swap = Txn.compareAndSwap(KEY_PREFIX + service.value(), revision, table.encode());
        store.commit(
                swap,
                reply -> timer.schedule(0, () -> {
                    events.emit(
                            "prompt-table-written",
                            "service",
                            service.value(),
                            "after",
                            revision,
                            "outcome",
                            reply.fold(StoreFault::name, result -> result.succeeded() ? "done" : "overtaken"));
                    if (reply.isLeft()) {
                        timer.schedule(RETRY_MS, () -> writeIfDiffers(service));
                    }
                }));
    }

    private void even() {
        boolean first = view.instances().stream().findFirst().map(self::equals).orElse(false);
        if (first) {
            stored.keySet().stream().filter(tables::containsKey).toList().forEach(service -> {
                PromptTable evened = tables.get(service).rebalanced(members.get(service), EVEN_BUCKETS);
                if (!evened.equals(tables.get(service))) {
                    write(service, evened);
                }
            });
        }
        timer.schedule(EVEN_EVERY_MS, this::even);
    }
}
