package org.cuminspur.rollout;

import java.util.Optional;

/**
 * What a decision on a roll-out depends on; immutable.
 *
 * @param phase the phase that the store holds, empty before the first
 * @param ordered whether the operator's order still stands
 * @param serviceKnown whether the configuration names the service
 * @param targetAlone whether the target is the only version that serves
 * @param targetUpstreams upstreams of the target that take work and are warm
 * @param otherUpstreams upstreams of the other versions that take work
 * @param instances instances of the fleet
 * @param elapsedMillis time since the order
 * @param phaseMillis time since the present phase was noticed
 */
record RolloutFacts(
        Optional<RolloutPhase> phase,
        boolean ordered,
        boolean serviceKnown,
        boolean targetAlone,
        int targetUpstreams,
        int otherUpstreams,
        int instances,
        long elapsedMillis,
        long phaseMillis,
        RolloutAssessment assessment) {}
