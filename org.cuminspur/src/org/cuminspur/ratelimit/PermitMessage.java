package org.cuminspur.ratelimit;

import java.util.List;
import org.cuminspur.traffic.UpstreamProcessId;

/** A message between instances about the limits of upstreams; each kind is an immutable record. */
public sealed interface PermitMessage {
    /** States limits that upstreams name, or named. */
    record Limits(List<LimitFact> limits) implements PermitMessage {
        public Limits {
            limits = List.copyOf(limits);
        }
    }

    /**
     * Asks for a permit to send one request.
     *
     * @param number tells the queries of an instance apart
     * @param requestsPerSecond the limit as the sender knows it
     * @param bound whether the request can go to few other upstreams or to none
     */
    record Query(int number, UpstreamProcessId upstream, double requestsPerSecond, boolean bound)
            implements PermitMessage {}

    /**
     * Answers a query.
     *
     * @param waitMillis if it is not granted, the time until the next permit
     */
    record Reply(int number, boolean granted, int waitMillis) implements PermitMessage {}
}
