package org.cuminspur.traffic;

/**
 * Bounds that the deployment sets, shared by all instances of the fleet; immutable.
 *
 * @param maxRevocationDelayMillis how long after its revocation a key may still be accepted
 * @param maxChangeDelayMillis how long after a change in the store an instance may still act by what was before
 * @param reregistrationGraceMillis how long after the store's return an upstream that lapsed meanwhile may be missing
 * @param retryRatio retries allowed for each request to a service
 * @param retrySlack retries allowed besides, in each window
 * @param retryWindowMillis length of the window in which retries are counted
 * @param coldRateFactor factor on the rate that a cold upstream bears
 * @param coldRateSlack requests allowed besides that rate, in any second
 * @param loadFactor multiple of the mean load that no upstream is to exceed
 * @param shutdownGraceMillis how long the process may run on after it was told to stop
 */
public record TrafficBounds(
        long maxRevocationDelayMillis,
        long maxChangeDelayMillis,
        long reregistrationGraceMillis,
        double retryRatio,
        double retrySlack,
        long retryWindowMillis,
        double coldRateFactor,
        double coldRateSlack,
        double loadFactor,
        long shutdownGraceMillis) {}
