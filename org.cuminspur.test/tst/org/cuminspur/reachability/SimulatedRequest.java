package org.cuminspur.reachability;

import java.util.HashSet;
import java.util.Set;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.ServiceId;
import org.cuminspur.id.UpstreamId;

/** One request of a caller, with what became of it; not thread-safe. */
final class SimulatedRequest {
    final InstanceId instance;
    final ServiceId service;
    final boolean repeatable;
    final long sentMillis;
    final long deadlineMillis;
    final Set<UpstreamId> tried = new HashSet<>();
    final Set<InstanceId> relays = new HashSet<>();
    int attempts;
    int hops;
    int runs;
    private boolean settled;
    private boolean served;

    SimulatedRequest(InstanceId instance, ServiceId service, boolean repeatable, long sentMillis, long timeoutMillis) {
        this.instance = instance;
        this.service = service;
        this.repeatable = repeatable;
        this.sentMillis = sentMillis;
        this.deadlineMillis = sentMillis + timeoutMillis;
    }

    /** Records how the request ended for its caller; the first end counts. */
    void settle(boolean success) {
        if (!settled) {
            settled = true;
            served = success;
        }
    }

    boolean isSettled() {
        return settled;
    }

    boolean isServed() {
        return served;
    }
}
