package org.cuminspur.ratelimit;

import org.cuminspur.traffic.UpstreamProcessId;

/**
 * What a response of an upstream said of its limit; immutable.
 *
 * @param named whether it named a limit; otherwise an earlier one has ended
 * @param requestsPerSecond the limit, 0 if none was named
 * @param ageMillis time since the response
 */
public record LimitFact(UpstreamProcessId upstream, boolean named, double requestsPerSecond, long ageMillis) {}
