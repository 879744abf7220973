package org.cuminspur.router;

import java.util.Optional;
import org.cuminspur.http.platform.PlatformAddress;
import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.InstanceId;
import org.cuminspur.rollout.RolloutBounds;
import org.cuminspur.traffic.NetworkAddress;
import org.cuminspur.traffic.TrafficBounds;

/**
 * The settings of an instance that reads its configuration from the platform's store; immutable.
 *
 * @param callers address that callers connect to
 * @param readiness address of the load balancer's readiness checks
 * @param metricsPort port of the metrics, on the callers' host
 * @param rollouts bounds of what a version without a verdict may get
 * @param peers address for messages and requests of other instances, empty if none are exchanged
 */
public record TrafficSettings(
        InstanceId id,
        FailureDomainId domain,
        PlatformAddress callers,
        PlatformAddress readiness,
        int metricsPort,
        Optional<NetworkAddress> peers,
        PlatformAddress store,
        TrafficBounds bounds,
        RolloutBounds rollouts) {}
