package org.cuminspur.balance;

import java.util.List;
import org.cuminspur.id.InstanceId;

/**
 * A request that waits for room at an upstream; immutable.
 *
 * @param sinceMillis when it began to wait
 * @param late whether its response is late whatever happens
 * @param startByMillis when it has to go at the latest: to be in time, or before its limit if it is late
 * @param refreshedMillis when its instance asked for it last
 */
record WaitingRequest(
        Ticket ticket,
        int priority,
        int account,
        List<Candidate> candidates,
        long sinceMillis,
        boolean late,
        long startByMillis,
        long refreshedMillis) {
    /** Identifies a request in the fleet. */
    record Ticket(InstanceId instance, int number) {}

    /**
     * Returns the request of a query.
     *
     * @param workMillis time from when it goes to its response, at most
     */
    static WaitingRequest of(InstanceId from, BalanceMessage.Query query, long workMillis, long nowMillis) {
        RequestTerms terms = query.terms();
        long inTimeMillis = nowMillis + terms.aimLeftMillis() - workMillis;
        long beginMillis = nowMillis - terms.waitedMillis();
        boolean late = inTimeMillis < beginMillis;
        return new WaitingRequest(
                new Ticket(from, query.number()),
                terms.priority(),
                terms.account(),
                query.candidates(),
                beginMillis,
                late,
                late ? nowMillis + terms.limitLeftMillis() - workMillis : inTimeMillis,
                nowMillis);
    }
}
