package org.cuminspur.rollout;

import java.util.Optional;
import java.util.Set;
import org.cuminspur.id.SoftwareVersion;
import org.cuminspur.internal.hash.Rendezvous;

/**
 * What an instance knows of the roll-out of a service; immutable.
 *
 * @param id names the roll-out in messages between instances
 * @param phase how far it has come, empty if the store has no record of it yet
 * @param excluded versions that get no new work but requests that are bound to them
 * @param elapsedMillis time from the order to {@code atMillis}
 * @param atMillis time of this view by the steady clock
 */
public record RolloutView(
        RolloutOrder order,
        long id,
        Optional<RolloutPhase> phase,
        Set<SoftwareVersion> excluded,
        long elapsedMillis,
        long atMillis) {
    public RolloutView {
        excluded = Set.copyOf(excluded);
    }

    /** Returns whether upstreams of a version get new work that is not bound to a version. */
    public boolean serves(SoftwareVersion version) {
        return !excluded.contains(version);
    }

    /** Returns whether the roll-out has not ended. */
    public boolean isOpen() {
        return phase.isEmpty() || !phase.get().isFinal();
    }

    /** Returns the time from the order to a time by the steady clock. */
    long elapsedMillis(long nowMillis) {
        return elapsedMillis + nowMillis - atMillis;
    }

    /** Returns the id of a roll-out in messages. */
    static long id(RolloutOrder order, long orderRevision) {
        long names = Rendezvous.mix(
                Rendezvous.hash(order.service().value()),
                Rendezvous.hash(order.target().value()));
        return Rendezvous.mix(names, Rendezvous.mix(order.durationMillis(), orderRevision));
    }
}
