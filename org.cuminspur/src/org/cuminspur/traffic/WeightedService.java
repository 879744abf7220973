package org.cuminspur.traffic;

import org.cuminspur.id.ServiceId;

/**
 * A service and its share of a route's requests; immutable.
 *
 * @param weight share relative to the route's other weights, at least 0
 */
public record WeightedService(ServiceId service, int weight) {}
