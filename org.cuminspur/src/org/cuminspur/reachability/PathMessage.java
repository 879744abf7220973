package org.cuminspur.reachability;

import java.util.List;
import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.ServiceId;
import org.cuminspur.traffic.UpstreamProcessId;

/** A message between instances about which of them reach upstreams; each kind is an immutable record. */
public sealed interface PathMessage {
    /** Asks when upstreams of a service were reached that the sender does not reach. */
    record Query(ServiceId service, List<UpstreamProcessId> upstreams) implements PathMessage {
        public Query {
            upstreams = List.copyOf(upstreams);
        }
    }

    /**
     * Answers a query.
     *
     * @param domain the sender's failure domain
     * @param reached those of the upstreams that the sender has reached; empty if it does not trust its own path
     * @param others other instances that have reached the service
     */
    record Report(
            ServiceId service, FailureDomainId domain, List<ReachedUpstream> reached, List<ReachingInstance> others)
            implements PathMessage {
        public Report {
            reached = List.copyOf(reached);
            others = List.copyOf(others);
        }
    }

    /** An upstream and the time since it was reached; immutable. */
    record ReachedUpstream(UpstreamProcessId upstream, long ageMillis) {}

    /** An instance and the time since it said that it had reached a service; immutable. */
    record ReachingInstance(InstanceId instance, FailureDomainId domain, long ageMillis) {}
}
