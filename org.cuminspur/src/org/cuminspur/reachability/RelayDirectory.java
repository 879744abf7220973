package org.cuminspur.reachability;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.ServiceId;

/**
 * The other instances that have reached a service lately, through which requests may go.
 *
 * <p>Not thread-safe. Holds instances of the present view only. Of those in this failure domain, else of all, two are
 * drawn and the one with fewer of this instance's requests is taken, so that the load is spread without messages.
 */
final class RelayDirectory {
    /** Age up to which an instance that reached the service is expected to reach it still. */
    static final long FRESH_MS = 1_500;

    /** Time for which an instance is left out that could not serve a request. */
    static final long AVOID_MS = 1_000;

    private record Relay(FailureDomainId domain, long reachedMillis, long avoidUntilMillis) {}

    private final FailureDomainId domain;
    private final Random random;
    private final Map<ServiceId, Map<InstanceId, Relay>> relays = new HashMap<>();
    private final Map<InstanceId, Integer> inProgress = new HashMap<>();

    RelayDirectory(FailureDomainId domain, Random random) {
        this.domain = domain;
        this.random = random;
    }

    /** Forgets instances that are not listed any more. */
    void retain(Set<InstanceId> instances) {
        relays.values().forEach(ofService -> ofService.keySet().retainAll(instances));
    }

    void recordReached(ServiceId service, InstanceId instance, FailureDomainId instanceDomain, long reachedMillis) {
        relays.computeIfAbsent(service, absent -> new HashMap<>())
                .merge(
                        instance,
                        new Relay(instanceDomain, reachedMillis, UpstreamPath.NEVER),
                        (known, added) -> new Relay(
                                instanceDomain,
                                Math.max(known.reachedMillis, added.reachedMillis),
                                known.avoidUntilMillis));
    }

    void recordFailed(ServiceId service, InstanceId instance, long nowMillis) {
        relays.getOrDefault(service, Map.of())
                .computeIfPresent(
                        instance, (id, known) -> new Relay(known.domain, known.reachedMillis, nowMillis + AVOID_MS));
    }

    void recordStarted(InstanceId instance) {
        inProgress.merge(instance, 1, Integer::sum);
    }

    void recordEnded(InstanceId instance) {
        inProgress.computeIfPresent(instance, (id, count) -> count > 1 ? count - 1 : null);
    }

    boolean hasFresh(ServiceId service, long nowMillis) {
        return relays.getOrDefault(service, Map.of()).values().stream()
                .anyMatch(relay -> nowMillis - relay.reachedMillis < FRESH_MS);
    }

    /** Returns the instances that reached a service last, the latest first. */
    List<PathMessage.ReachingInstance> fresh(ServiceId service, long nowMillis) {
        return relays.getOrDefault(service, Map.of()).entrySet().stream()
                .filter(relay -> nowMillis - relay.getValue().reachedMillis < FRESH_MS)
                .map(relay -> new PathMessage.ReachingInstance(
                        relay.getKey(), relay.getValue().domain, nowMillis - relay.getValue().reachedMillis))
                .sorted(Comparator.comparingLong(PathMessage.ReachingInstance::ageMillis)
                        .thenComparing(PathMessage.ReachingInstance::instance))
                .toList();
    }

    /** Returns the instance that a request goes through, empty if none is known that was not tried. */
    Optional<InstanceId> choose(ServiceId service, Set<InstanceId> tried, long nowMillis) {
        List<Map.Entry<InstanceId, Relay>> all = relays.getOrDefault(service, Map.of()).entrySet().stream()
                .filter(relay -> !tried.contains(relay.getKey()))
                .filter(relay -> nowMillis - relay.getValue().reachedMillis < FRESH_MS
                        && nowMillis >= relay.getValue().avoidUntilMillis)
                .sorted(Map.Entry.comparingByKey())
                .toList();
        List<Map.Entry<InstanceId, Relay>> near = all.stream()
                .filter(relay -> relay.getValue().domain.equals(domain))
                .toList();
        List<Map.Entry<InstanceId, Relay>> candidates = near.isEmpty() ? all : near;
        return candidates.isEmpty()
                ? Optional.empty()
                : random.ints(2, 0, candidates.size())
                        .mapToObj(drawn -> candidates.get(drawn).getKey())
                        .min(Comparator.comparingInt(id -> inProgress.getOrDefault(id, 0)));
    }
}
