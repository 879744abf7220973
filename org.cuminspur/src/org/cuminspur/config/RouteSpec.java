package org.cuminspur.config;

import java.util.Set;
import org.cuminspur.id.AccountId;
import org.cuminspur.id.RouteId;
import org.cuminspur.id.ServiceId;

/**
 * What operators publish about a route; immutable.
 *
 * @param method HTTP method, or {@code *} for any
 * @param path path prefix, compared by whole segments
 * @param model model name that the body must ask for, or empty for any
 * @param idempotent whether the request may be sent again
 * @param idempotencyHeader header that holds the idempotency key of requests that are not idempotent
 * @param deadlineMillis time from arrival to the end of the answer
 * @param accounts client accounts that may use the route; empty for all
 */
public record RouteSpec(
        RouteId id,
        ServiceId service,
        String method,
        String path,
        String model,
        boolean idempotent,
        String idempotencyHeader,
        Priority priority,
        long deadlineMillis,
        Set<AccountId> accounts) {
    public RouteSpec {
        accounts = Set.copyOf(accounts);
    }
}
