package org.cuminspur.traffic;

import org.cuminspur.id.ServiceId;

/**
 * Limits of a service's upstreams; immutable.
 *
 * @param maxConnections connections that one upstream accepts from all instances together
 * @param warmupMillis how long an upstream stays cold after its start, 0 if it never is
 * @param warmupPerSecond requests a second that a cold upstream can serve, from all instances together
 */
public record ServiceLimits(ServiceId id, int maxConnections, long warmupMillis, double warmupPerSecond) {
    /** Returns whether upstreams of this service can be cold. */
    public boolean hasWarmup() {
        return warmupMillis > 0 && warmupPerSecond > 0;
    }
}
