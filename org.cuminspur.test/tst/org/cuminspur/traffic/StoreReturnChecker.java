package org.cuminspur.traffic;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.testing.SimulatedStore;
import org.cuminspur.testing.VirtualTime;

/**
 * Checks what a fleet promises while its store comes back from copies; not thread-safe.
 *
 * <p>Promises with a bound in time hold for an instance that runs with a way to the store, which is stable, for
 * {@link #CONTACT_MS}; the others hold for all.
 */
final class StoreReturnChecker {
    private static final long CONTACT_MS = 3_000;

    /** Time in touch after which an instance serves callers with keys: the time for writers, and a lost reply. */
    private static final long SERVING_MS =
            TrafficFixtures.BOUNDS.reregistrationGraceMillis() + SimulatedStore.REPLY_TIMEOUT_MS;

    private static final long SECOND_MS = 1_000;
    private static final long EVACUATE_MS = 5_000;

    /** The store's bounds on calls a second, which a fleet of this size shares. */
    private static final int LARGEST_FLEET = 360;

    private static final double READS_PER_SECOND = 2_000;
    private static final double WRITES_PER_SECOND = 400;

    /** Share of the bounds that a small fleet may use. */
    private static final double LEAST_SHARE = 0.1;

    private final VirtualTime time;
    private final double callShare;
    private final TreeMap<Long, Long> acknowledgedMillis = new TreeMap<>();
    private final Map<SimulatedView, Long> highestVersions = new HashMap<>();
    private final Map<SimulatedView, Set<String>> known = new HashMap<>();
    private final Map<SimulatedView, Set<String>> seenLeaving = new HashMap<>();
    private final Map<String, String> violations = new TreeMap<>();
    private final List<SimulatedView> ended = new ArrayList<>();
    private long storeDisturbedMillis;
    private long evacuationChangedMillis;
    private long secondEndsMillis;
    private long readsBefore;
    private long writesBefore;
    private double mostReads;
    private double mostWrites;

    StoreReturnChecker(VirtualTime time, int instances) {
        this.time = time;
        callShare = Math.max(LEAST_SHARE, (double) instances / LARGEST_FLEET);
    }

    /** Begins to count calls. */
    void start(List<SimulatedView> instances) {
        secondEndsMillis = time.nowMillis() + SECOND_MS;
        readsBefore = sum(instances, true);
        writesBefore = sum(instances, false);
    }

    void acknowledged(long version) {
        acknowledgedMillis.putIfAbsent(version, time.nowMillis());
    }

    void evacuationChanged() {
        evacuationChangedMillis = time.nowMillis();
    }

    void storeDisturbed() {
        storeDisturbedMillis = time.nowMillis();
    }

    /** Keeps counting the calls of a process that has ended. */
    void addCalls(SimulatedView instance) {
        ended.add(instance);
    }

    /** Returns the first violation of each kind. */
    Map<String, String> violations() {
        return violations;
    }

    /** Returns the most calls in a second. */
    String calls() {
        return "reads " + mostReads + ", writes " + mostWrites;
    }

    /**
     * Checks all instances as they are now.
     *
     * @param upstreams state of each upstream that runs
     * @param leftMillis when upstreams said that they leave
     */
    void sample(
            List<SimulatedView> instances,
            Map<String, String> upstreams,
            Map<String, Long> leftMillis,
            boolean evacuated) {
        instances.forEach(instance -> {
            checkConfiguration(instance);
            checkUpstreams(instance, upstreams, leftMillis);
            if (evacuated
                    && inTouch(instance, CONTACT_MS)
                    && time.nowMillis() - evacuationChangedMillis > EVACUATE_MS
                    && !instance.view().drainedDomains().contains(TrafficFixtures.MILANO)) {
                violate("EVAC", instance, "a drained domain is in service");
            }
        });
        countCalls(instances);
    }

    private void checkConfiguration(SimulatedView instance) {
        long version = instance.version();
        if (version < highestVersions.getOrDefault(instance, 0L)) {
            violate("CONFIG regress", instance, "went back to " + version);
        }
        highestVersions.merge(instance, version, Math::max);
        if (inTouch(instance, CONTACT_MS)
                && version < acknowledgedBefore(TrafficFixtures.BOUNDS.maxChangeDelayMillis())) {
            violate("CONFIG", instance, version + " is in force");
        }
        if (instance.trusts() && version < acknowledgedBefore(TrafficFixtures.BOUNDS.maxRevocationDelayMillis())) {
            violate("AUTH", instance, "trusts the keys of " + version);
        }
        long newest = acknowledgedMillis.lastKey();
        if (inTouch(instance, CONTACT_MS)
                && newest == acknowledgedBefore(TrafficFixtures.BOUNDS.maxChangeDelayMillis())
                && !instance.routes(TrafficFixtures.addedPrefix(newest))) {
            violate("CONFIG added route", instance, "does not serve the route of " + newest);
        }
        long revoked = acknowledgedBefore(TrafficFixtures.BOUNDS.maxRevocationDelayMillis()) - 2;
        if (instance.accepts(TrafficFixtures.key(revoked))) {
            violate("AUTH revoked key", instance, "accepts the key of " + revoked);
        }
        if (inTouch(instance, CONTACT_MS + SERVING_MS) && !instance.trusts()) {
            violate("SERVING", instance, "trusts no keys");
        }
    }

    private void checkUpstreams(SimulatedView instance, Map<String, String> upstreams, Map<String, Long> leftMillis) {
        Set<String> knownHere = known.computeIfAbsent(instance, absent -> new HashSet<>());
        Set<String> leavingHere = seenLeaving.computeIfAbsent(instance, absent -> new HashSet<>());
        leftMillis.keySet().forEach(id -> {
            UpstreamEntry entry = instance.view().upstreams().get(new UpstreamId(id));
            boolean serves = entry != null && !entry.draining();
            if (serves && leavingHere.contains(id)) {
                violate("DRAIN", instance, id + " is in service again");
            } else if (!serves && knownHere.contains(id)) {
                leavingHere.add(id);
            }
        });
        upstreams.keySet().forEach(id -> {
            if (instance.view().upstreams().containsKey(new UpstreamId(id))) {
                knownHere.add(id);
            } else if (knownHere.contains(id)) {
                violate("DROPPED", instance, id + " runs and is not known any more");
            }
        });
    }

    private void countCalls(List<SimulatedView> instances) {
        if (time.nowMillis() < secondEndsMillis) {
            return;
        }
        secondEndsMillis += SECOND_MS;
        long reads = sum(instances, true);
        long writes = sum(instances, false);
        mostReads = Math.max(mostReads, reads - readsBefore);
        mostWrites = Math.max(mostWrites, writes - writesBefore);
        if (reads - readsBefore > READS_PER_SECOND * callShare) {
            violations.putIfAbsent("CALLS", reads - readsBefore + " reads and watches in a second");
        }
        if (writes - writesBefore > WRITES_PER_SECOND * callShare) {
            violations.putIfAbsent("CALLS", writes - writesBefore + " writes in a second");
        }
        readsBefore = reads;
        writesBefore = writes;
    }

    private long sum(List<SimulatedView> instances, boolean reads) {
        return instances.stream()
                        .mapToLong(one -> reads ? one.readsAndWatches() : one.writes())
                        .sum()
                + ended.stream()
                        .mapToLong(one -> reads ? one.readsAndWatches() : one.writes())
                        .sum();
    }

    private boolean inTouch(SimulatedView instance, long millis) {
        long since = Math.max(storeDisturbedMillis, instance.undisturbedSinceMillis());
        return since <= time.nowMillis() - millis;
    }

    private long acknowledgedBefore(long millis) {
        return acknowledgedMillis.entrySet().stream()
                .filter(version -> version.getValue() <= time.nowMillis() - millis)
                .mapToLong(Map.Entry::getKey)
                .max()
                .orElse(0);
    }

    private void violate(String rule, SimulatedView instance, String what) {
        violations.putIfAbsent(
                rule,
                "at " + time.nowMillis() + " " + instance.id().value() + " (runs for "
                        + (time.nowMillis() - instance.startedMillis()) + " ms, store stable for "
                        + (time.nowMillis() - storeDisturbedMillis) + " ms): " + what);
    }
}
