package org.cuminspur.traffic;

/**
 * Bounds set by the deployment, the same for all instances of the fleet; immutable.
 *
 * @param maxRevocationDelayMillis how long a key may still be accepted after its revocation
 * @param maxChangeDelayMillis how long an instance may still act on the old state after a change in the store
 * @param reregistrationGraceMillis how long after an outage of the store an upstream that lapsed in it is kept
 * @param retryRatio retries allowed per request to a service
 * @param retrySlack additional retries allowed in each window
 * @param retryWindowMillis window in which retries are counted
 * @param coldRateFactor allowed multiple of the request rate of a cold upstream
 * @param coldRateSlack additional requests allowed to a cold upstream in any second
 * @param loadFactor multiple of the mean load that no upstream should exceed
 * @param shutdownGraceMillis how long the process may keep running after a request to stop
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
