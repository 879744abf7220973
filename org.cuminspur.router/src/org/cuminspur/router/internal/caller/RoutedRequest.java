package org.cuminspur.router.internal.caller;

import org.cuminspur.config.AccountSpec;
import org.cuminspur.config.Priority;
import org.cuminspur.config.RouteSpec;

/**
 * A request whose account and route are known; immutable.
 *
 * @param placementHash hash by which an upstream is chosen
 * @param priority the route's priority, no higher than the account's
 * @param deadlineMillis time by which the answer must be complete, in milliseconds of the router's clock
 */
record RoutedRequest(
        CallerRequest request,
        AccountSpec account,
        RouteSpec route,
        long placementHash,
        Priority priority,
        long deadlineMillis) {}
