package org.cuminspur.traffic;

/**
 * Bounds that the deployment sets, shared by all instances of the fleet; immutable.
 *
 * @param revokeMillis how long after its revocation a key may still be accepted
 * @param changeMillis how long after a change in the store an instance may still act by what was before
 * @param lapseReturnMillis how long after the store's return an upstream that lapsed meanwhile may be missing
 * @param retryRatio retries allowed for each request to a service
 * @param retrySlack retries allowed besides, in each window
 * @param retryWindowMillis length of the window in which retries are counted
 * @param coldOverage factor on the rate that a cold upstream bears
 * @param coldSlack requests allowed besides that rate, in any second
 * @param loadFactor multiple of the mean load that no upstream is to exceed
 * @param graceMillis how long the process may run on after it was told to stop
 */
public record TrafficBounds(
        long revokeMillis,
        long changeMillis,
        long lapseReturnMillis,
        double retryRatio,
        double retrySlack,
        long retryWindowMillis,
        double coldOverage,
        double coldSlack,
        double loadFactor,
        long graceMillis) {}
