package org.cuminspur.balance;

import java.util.List;
import org.cuminspur.traffic.UpstreamProcessId;

/** A message between instances about the loads of upstreams; each kind is an immutable record. */
public sealed interface BalanceMessage {
    /**
     * Asks for the upstream of a request, or again while it waits.
     *
     * @param number tells the requests of an instance apart
     * @param service hash of the service
     */
    record Query(int number, long service, RequestTerms terms, List<Candidate> candidates) implements BalanceMessage {
        public Query {
            candidates = List.copyOf(candidates);
        }

        /** Returns this query for some of its candidates. */
        Query only(List<Candidate> some) {
            return new Query(number, service, terms, some);
        }
    }

    /** Names the upstream of a request. */
    record Reply(int number, UpstreamProcessId upstream) implements BalanceMessage {}

    /** Says that a request waits for room. */
    record Queued(int number) implements BalanceMessage {}

    /** Says that there is no room for a request before its limit, and when there may be. */
    record Rejected(int number, int retryAfterMillis) implements BalanceMessage {}

    /** Says that a request to an upstream broke or could not be sent. */
    record Failed(UpstreamProcessId upstream) implements BalanceMessage {}

    /** Says that an upstream ran a request and answered with an error. */
    record Erred(UpstreamProcessId upstream) implements BalanceMessage {}

    /** Passes on what an upstream has just said of itself. */
    record Report(UpstreamProcessId upstream, UpstreamReport report) implements BalanceMessage {}
}
