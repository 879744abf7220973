package org.cuminspur.rollout;

import org.cuminspur.id.InstanceId;
import org.cuminspur.internal.hash.Rendezvous;

/** Finds the instances that decide on a simulated roll-out; stateless. */
final class RolloutIds {
    private RolloutIds() {}

    /** Returns the id of the roll-out that the store holds, 0 before it has begun. */
    static long current(RolloutSimulation fleet) {
        String key = RolloutManager.KEY_PREFIX + RolloutSimulation.SERVICE.value();
        return fleet.table().range(key, "").entries().stream()
                .map(entry -> RolloutRecord.decode(RolloutSimulation.SERVICE, entry.value()))
                .mapToLong(record -> RolloutView.id(record.order(), record.startedWallMillis()))
                .findFirst()
                .orElse(0);
    }

    /** Returns the position of an instance in the order in which instances decide; the lowest comes first. */
    static long score(long rollout, InstanceId instance) {
        return Rendezvous.mix(rollout, Rendezvous.hash(instance.value()));
    }
}
