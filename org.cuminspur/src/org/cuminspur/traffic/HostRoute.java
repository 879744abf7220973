package org.cuminspur.traffic;

import java.util.List;
import org.cuminspur.id.RouteId;

/**
 * A route that is selected by host and path prefix; immutable.
 *
 * @param prefix begins and ends with a slash
 * @param weightedServices services that take the requests, at least one
 * @param timeoutMillis longest time that a caller is kept waiting
 * @param targetLatencyMillis time to the first byte of the answer that callers are promised
 * @param priority rank among requests, 0 is the most urgent
 * @param maxAttempts upstreams that may run one request
 * @param authExempt whether callers need no key
 * @param promptAffinity whether requests describe a prompt whose parts upstreams cache
 * @param resumable whether a stream may go on at another upstream
 */
public record HostRoute(
        RouteId id,
        String host,
        String prefix,
        RequestKind kind,
        List<WeightedService> weightedServices,
        long timeoutMillis,
        long targetLatencyMillis,
        int priority,
        int maxAttempts,
        boolean authExempt,
        boolean promptAffinity,
        boolean resumable) {
    public HostRoute {
        weightedServices = List.copyOf(weightedServices);
    }

    /** Returns whether a request may be sent again although it may have run. */
    public boolean idempotent() {
        return kind == RequestKind.IDEMPOTENT || (kind == RequestKind.STREAM && resumable);
    }
}
