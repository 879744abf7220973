package org.cuminspur.routing;

/**
 * What an upstream said of its load; immutable.
 *
 * @param inProgress requests it was serving or holding
 * @param slots requests it serves at the same time, or 0 if it did not say
 * @param incarnation start of its process in milliseconds since the epoch, or 0 if it did not say
 */
public record LoadReport(double inProgress, double slots, long incarnation) {}
