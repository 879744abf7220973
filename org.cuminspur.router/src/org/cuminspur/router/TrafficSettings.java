package org.cuminspur.router;

import org.cuminspur.http.platform.PlatformAddress;
import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.InstanceId;
import org.cuminspur.traffic.TrafficBounds;

/**
 * The settings of an instance that takes its configuration from the platform's store; immutable.
 *
 * @param callers where callers connect
 * @param readiness where the balancer asks whether the instance is ready
 * @param metricsPort port of the metrics, on the callers' host
 */
public record TrafficSettings(
        InstanceId id,
        FailureDomainId domain,
        PlatformAddress callers,
        PlatformAddress readiness,
        int metricsPort,
        PlatformAddress store,
        TrafficBounds bounds) {}
