package org.cuminspur.rollout;

import java.util.Optional;
import org.cuminspur.id.RouteId;
import org.cuminspur.id.SoftwareVersion;

/** Decides which requests of an instance try the target. */
@FunctionalInterface
interface CanaryPolicy {
    /** The policy of the product. */
    CanaryPolicy BUDGET = (monitor, route, nowMillis) -> monitor.draw(RolloutSimulation.SERVICE, route);

    /** Returns the version that a request is to try, empty for any in service. */
    Optional<SoftwareVersion> draw(RolloutMonitor monitor, RouteId route, long nowMillis);
}
