package org.cuminspur.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import org.cuminspur.config.ConfigDocument;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.Revision;
import org.cuminspur.internal.config.ConfigStoreCodec;
import org.cuminspur.publish.Backoff;
import org.cuminspur.publish.PublishResult;
import org.cuminspur.publish.Publisher;
import org.cuminspur.store.Store;
import org.cuminspur.store.StoreKeys;
import org.cuminspur.testing.SimulatedControlFleet;
import org.cuminspur.testing.SimulatedControlRouter;
import org.cuminspur.testing.SimulatedStore;
import org.cuminspur.testing.StoreFaults;

/**
 * Checks the guarantees to operators: accepted publications take effect in time and persist, no router reverts to an
 * older revision, and orders take effect in time.
 *
 * <p>Used by one thread. Collects violations instead of throwing, so that tests can expect them of naive variants.
 */
final class OperatorChecker {
    static final long PROPAGATION_BOUND_MS = 4_000;

    private static final long SAMPLE_MS = 50;

    private record Accepted(Revision revision, String text) {}

    private final SimulatedControlFleet fleet;
    private final List<String> violations = new ArrayList<>();
    private final Map<InstanceId, Long> newestRevisions = new HashMap<>();
    private final Map<InstanceId, Long> lastUnavailableMillis = new HashMap<>();
    private final Map<String, Accepted> acceptedFiles = new TreeMap<>();
    private final Map<String, PublishResult> results = new TreeMap<>();
    private final StoreFaults publisherFaults = new StoreFaults();
    private ToLongFunction<SimulatedControlRouter> revisionReader =
            router -> router.core().snapshot().revision().value();
    private Predicate<SimulatedControlRouter> reachable = router -> true;
    private long worstPropagationMillis;
    private long publisherCalls;

    OperatorChecker(SimulatedControlFleet fleet) {
        this.fleet = fleet;
        fleet.time().scheduleRepeating(SAMPLE_MS, this::sample);
    }

    /** Sets how a router's revision is read. */
    void revision(ToLongFunction<SimulatedControlRouter> reader) {
        revisionReader = reader;
    }

    /** Sets which routers are reachable; frozen ones never are. */
    void reachable(Predicate<SimulatedControlRouter> predicate) {
        reachable = predicate;
    }

    /** Returns the faults of the publishers' store. */
    StoreFaults publisherFaults() {
        return publisherFaults;
    }

    Map<String, PublishResult> results() {
        return results;
    }

    long worstPropagationMillis() {
        return worstPropagationMillis;
    }

    long publisherCalls() {
        return publisherCalls;
    }

    SimulatedStore store() {
        return new SimulatedStore(fleet.time(), fleet.random(), fleet.storeTable(), publisherFaults);
    }

    /** Publishes one file with a separate publisher. */
    void publish(String publication, String file, String text) {
        publish(store(), publication, file, text);
    }

    void publish(Store store, String publication, String file, String text) {
        Backoff backoff = new Backoff(fleet.time().clock(), fleet.time()::schedule, fleet.random(), 120_000);
        new Publisher(
                        store,
                        publication,
                        Map.of(file, text),
                        Set.of(),
                        backoff,
                        result -> onPublishEnded(publication, file, text, result, store))
                .start();
    }

    /** Requires that once the bound has passed, no reachable router uses the upstream. */
    void requireUnused(String upstream) {
        fleet.time()
                .schedule(
                        PROPAGATION_BOUND_MS,
                        () -> fleet.routers()
                                .filter(router -> !router.isFrozen() && reachable.test(router))
                                .filter(router -> uses(router, upstream))
                                .forEach(router -> violations.add(router.id() + " still uses " + upstream)));
    }

    static boolean uses(SimulatedControlRouter router, String upstream) {
        return router.core().snapshot().upstreams().values().stream()
                .flatMap(set -> set.views())
                .anyMatch(view -> view.id().value().equals(upstream));
    }

    /** Returns the violations, after a final check of the store. */
    List<String> violations() {
        ConfigDocument last = storedConfig();
        acceptedFiles.forEach((name, accepted) -> {
            String text = last.texts().get(name);
            if (!accepted.text().equals(text)) {
                violations.add("accepted change of " + name + " by revision " + accepted.revision() + " is lost");
            }
        });
        results.forEach((publication, result) -> {
            if (result instanceof PublishResult.Conflict && wasPublished(publication)) {
                violations.add(publication + " reported a conflict, but was published");
            }
        });
        return violations;
    }

    ConfigDocument storedConfig() {
        return ConfigStoreCodec.read(fleet.storeTable().range(StoreKeys.CONFIG_PREFIX, "cuminspur/config0"));
    }

    private boolean wasPublished(String publication) {
        return fleet.storeTable().range("cuminspur/publication/", "cuminspur/publication0").entries().stream()
                .anyMatch(entry -> entry.value().equals(publication));
    }

    private void onPublishEnded(String publication, String file, String text, PublishResult result, Store store) {
        results.put(publication, result);
        if (store instanceof SimulatedStore memory) {
            publisherCalls += memory.readCount() + memory.writeCount();
        }
        if (result instanceof PublishResult.Published published) {
            acceptedFiles.merge(
                    file,
                    new Accepted(published.revision(), text),
                    (old, fresh) -> fresh.revision().isNewerThan(old.revision()) ? fresh : old);
            checkInForce(published.revision().value(), fleet.time().nowMillis());
        }
    }

    private void checkInForce(long number, long since) {
        fleet.time().scheduleRepeating(SAMPLE_MS, () -> {
            List<SimulatedControlRouter> behind = fleet.routers()
                    .filter(router -> revisionReader.applyAsLong(router) < number)
                    .toList();
            List<SimulatedControlRouter> late = behind.stream()
                    .filter(router -> availableMillis(router, since) >= PROPAGATION_BOUND_MS)
                    .toList();
            if (!late.isEmpty()) {
                violations.add("revision " + number + " is not in force in time on " + late.size() + " routers");
            }
            if (behind.stream().anyMatch(router -> !isUnavailable(router))) {
                worstPropagationMillis =
                        Math.max(worstPropagationMillis, fleet.time().nowMillis() - since);
            }
            return !behind.isEmpty() && late.isEmpty();
        });
    }

    /**
     * Returns for how long a router has been neither frozen nor cut off, counted from {@code since} at the earliest.
     */
    private long availableMillis(SimulatedControlRouter router, long since) {
        return fleet.time().nowMillis() - Math.max(since, lastUnavailableMillis.getOrDefault(router.id(), 0L));
    }

    private boolean isUnavailable(SimulatedControlRouter router) {
        return router.isFrozen() || !reachable.test(router);
    }

    private boolean sample() {
        fleet.routers()
                .filter(this::isUnavailable)
                .forEach(router ->
                        lastUnavailableMillis.put(router.id(), fleet.time().nowMillis()));
        fleet.routers().filter(router -> !router.isFrozen()).forEach(router -> {
            long current = revisionReader.applyAsLong(router);
            if (current < newestRevisions.getOrDefault(router.id(), 0L)) {
                violations.add(router.id() + " reverted from " + newestRevisions.get(router.id()) + " to " + current);
            }
            newestRevisions.merge(router.id(), current, Math::max);
        });
        return true;
    }
}
