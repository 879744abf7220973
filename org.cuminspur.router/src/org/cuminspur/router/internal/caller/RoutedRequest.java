package org.cuminspur.router.internal.caller;

import org.cuminspur.config.AccountSpec;
import org.cuminspur.config.Priority;
import org.cuminspur.config.RouteSpec;

/**
 * A request whose account and route are known; immutable.
 *
 * @param placementHash hash by which the request is placed
 * @param priority the route's priority, no higher than the account's
 * @param deadlineMillis when its answer must be whole
 */
record RoutedRequest(
        CallerRequest request,
        AccountSpec account,
        RouteSpec route,
        long placementHash,
        Priority priority,
        long deadlineMillis) {}
