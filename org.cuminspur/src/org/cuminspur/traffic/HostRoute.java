package org.cuminspur.traffic;

import java.util.List;
import org.cuminspur.id.RouteId;

/**
 * A route selected by host and path prefix; immutable.
 *
 * @param prefix path prefix that starts and ends with a slash
 * @param weightedServices services that the requests are split among, at least one
 * @param timeoutMillis longest time that a caller waits for the response
 * @param targetLatencyMillis promised time to the first byte of the response
 * @param priority rank among requests, 0 is the highest
 * @param maxAttempts maximum number of upstreams that may run one request
 * @param authExempt whether callers need no key
 * @param promptAffinity whether requests describe a prompt whose parts upstreams cache
 * @param resumable whether a stream may resume at another upstream
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
