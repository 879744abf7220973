package org.cuminspur.routing;

/**
 * The load that an upstream reported; immutable.
 *
 * @param inProgress requests it was serving or holding
 * @param slots requests it serves at the same time, or 0 if not reported
 * @param incarnation start of its process in milliseconds since the epoch, or 0 if not reported
 */
public record LoadReport(double inProgress, double slots, long incarnation) {}
