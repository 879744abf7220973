package org.cuminspur.traffic;

import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.cuminspur.id.InstanceId;
import org.cuminspur.internal.hash.Rendezvous;

/**
 * Names the instance that decides for the whole fleet on what belongs to a key.
 *
 * <p>Not thread-safe; confined to the traffic thread. Instances with the same view name the same one, by the rendezvous
 * order of the key, and an instance that leaves moves only its own keys.
 */
public final class ArbiterDirectory {
    /** An instance and the hash of its id; immutable. */
    private record Candidate(InstanceId id, long hash) {}

    private final InstanceId self;
    private List<Candidate> candidates;

    /** Creates a directory that names only this instance. */
    public ArbiterDirectory(InstanceId self) {
        this.self = self;
        candidates = List.of(candidate(self));
    }

    /** Applies a newer view of the fleet. */
    public void update(FleetView view) {
        candidates = Stream.concat(Stream.of(self), view.peers().keySet().stream())
                .distinct()
                .map(ArbiterDirectory::candidate)
                .toList();
    }

    /** Returns the instance that decides on a key. */
    public InstanceId arbiterOf(long key) {
        return arbiterOf(key, id -> true);
    }

    /** Returns the instance that decides on a key among those that can be reached; this one if there is no other. */
    public InstanceId arbiterOf(long key, Predicate<InstanceId> reachable) {
        return candidates.stream()
                .filter(candidate -> candidate.id().equals(self) || reachable.test(candidate.id()))
                .max(Comparator.comparingLong(candidate -> Rendezvous.mix(key, candidate.hash())))
                .map(Candidate::id)
                .orElse(self);
    }

    private static Candidate candidate(InstanceId id) {
        return new Candidate(id, Rendezvous.hash(id.value()));
    }
}
