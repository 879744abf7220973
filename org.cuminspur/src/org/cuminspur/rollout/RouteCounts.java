package org.cuminspur.rollout;

/**
 * What an instance has counted on one route since a roll-out began; immutable.
 *
 * @param route hash of the route's id
 * @param serving answers of the versions in service
 * @param target answers of the target
 */
record RouteCounts(long route, VersionCounts serving, VersionCounts target) {}
