package org.cuminspur.router.internal.traffic;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.cuminspur.id.ServiceId;
import org.cuminspur.quarantine.SuspectId;
import org.cuminspur.quarantine.Suspects;

/** The requests that were sent to upstreams and have no answer yet; used on the traffic thread. */
final class UnansweredRequests {
    /** A request without an answer. */
    interface Unanswered {
        /** Returns the service that it was sent to. */
        ServiceId service();

        Suspects suspects();

        /** Ends the attempt, since one of its suspects was quarantined. */
        void quarantined();

        /** Ends the attempt if the request may be sent again, since this instance is cut off from its upstream. */
        void cutOff();

        /** Sends the request elsewhere if it may be sent again and its upstream leaves in silence. */
        void moveOnIfUpstreamLeaves();
    }

    private final Set<Unanswered> requests = new LinkedHashSet<>();

    /** Adds a request; it must be removed by {@link #remove}. */
    void add(Unanswered request) {
        requests.add(request);
    }

    /** Removes a request that has an answer, or waits for none any more. */
    void remove(Unanswered request) {
        requests.remove(request);
    }

    /** Ends the requests with a suspect. */
    void quarantine(SuspectId suspect) {
        List.copyOf(requests).stream()
                .filter(request -> request.suspects().contains(suspect))
                .forEach(Unanswered::quarantined);
    }

    /** Sends those requests elsewhere whose upstreams leave in silence. */
    void checkLeaving() {
        List.copyOf(requests).forEach(Unanswered::moveOnIfUpstreamLeaves);
    }

    /** Sends those requests to a service again that may be. */
    void cutOff(ServiceId service) {
        List.copyOf(requests).stream()
                .filter(request -> request.service().equals(service))
                .forEach(Unanswered::cutOff);
    }
}
