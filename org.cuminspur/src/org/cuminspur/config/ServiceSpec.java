package org.cuminspur.config;

import org.cuminspur.id.ServiceId;

/**
 * What operators publish about a service; immutable.
 *
 * @param loadBound the highest load of an upstream, as a multiple of the mean
 * @param slots requests that one warm upstream serves at the same time
 * @param coldAllowance the most requests in progress at a cold upstream, over the whole fleet
 * @param rampMillis time in which a cold upstream that stays healthy reaches its full share
 */
public record ServiceSpec(
        ServiceId id,
        ServiceKind kind,
        double loadBound,
        int slots,
        int coldAllowance,
        long rampMillis,
        Objective objective) {}
