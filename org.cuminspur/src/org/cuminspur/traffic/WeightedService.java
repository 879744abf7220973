package org.cuminspur.traffic;

import org.cuminspur.id.ServiceId;

/**
 * A service's part of a route's requests; immutable.
 *
 * @param weight part in proportion to the route's other weights, at least 0
 */
public record WeightedService(ServiceId service, int weight) {}
