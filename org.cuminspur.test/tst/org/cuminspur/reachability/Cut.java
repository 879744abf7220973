package org.cuminspur.reachability;

import java.util.Set;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.ServiceId;

/** A time in which some instances lose their links to all upstreams of some services; immutable. */
record Cut(Manner manner, Set<InstanceId> instances, Set<ServiceId> services, long fromMillis, long toMillis) {
    /** What happens to connections. */
    enum Manner {
        /** Open connections and new ones hang. */
        HANG,
        /** Open connections are reset, new ones hang. */
        RESET,
        /** Open connections are reset, new ones are refused. */
        REFUSE,
        /** Open connections live on, new ones are refused. */
        LIVE_ON
    }

    boolean isCut(InstanceId instance, ServiceId service, long millis) {
        return isAffected(instance) && services.contains(service) && millis >= fromMillis && millis < toMillis;
    }

    boolean isAffected(InstanceId instance) {
        return instances.contains(instance);
    }
}
