package org.cuminspur.rollout;

import org.cuminspur.id.ServiceId;
import org.cuminspur.id.SoftwareVersion;

/**
 * An operator's order to move a service to another software version; immutable.
 *
 * @param durationMillis time from the order within which the roll-out ends, above 0
 */
public record RolloutOrder(ServiceId service, SoftwareVersion target, long durationMillis) {}
