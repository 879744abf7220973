package org.cuminspur.router.internal.traffic;

import com.codahale.metrics.MetricRegistry;
import java.util.HashMap;
import java.util.Map;
import org.cuminspur.balance.FleetBalancer;
import org.cuminspur.event.EventSink;
import org.cuminspur.id.ServiceId;
import org.cuminspur.ratelimit.PermitPlacement;
import org.cuminspur.ratelimit.RateLimits;
import org.cuminspur.rollout.RolloutMonitor;
import org.cuminspur.router.HeaderCodec;
import org.cuminspur.time.Clock;
import org.cuminspur.traffic.FleetRetryBudget;
import org.cuminspur.traffic.PromptCacheHints;
import org.cuminspur.traffic.PromptPlacement;
import org.cuminspur.traffic.RequestLimits;
import org.cuminspur.traffic.RetryAfterPolicy;
import org.cuminspur.traffic.StreamOriginDirectory;
import org.cuminspur.traffic.TrafficBounds;
import org.cuminspur.traffic.UpstreamPool;
import org.cuminspur.traffic.ViewFreshness;

/**
 * State that all requests of one traffic thread share.
 *
 * <p>Not thread-safe; used on the traffic thread, except for the metrics and the events.
 *
 * @param responses memory for responses of upstreams and other instances
 */
record TrafficContext(
        Clock clock,
        TrafficBounds bounds,
        ViewFreshness freshness,
        UpstreamPool upstreams,
        PromptPlacement placement,
        PromptCacheHints promptCaches,
        LoadNotices loadNotices,
        FleetBalancer balancer,
        StreamOriginDirectory streamOrigins,
        CrashGuard crashGuard,
        RateLimits rateLimits,
        PermitPlacement permitPlacement,
        PathGuard paths,
        RolloutMonitor rollouts,
        UnansweredRequests unanswered,
        CallRouter router,
        UpstreamConnectionPool connections,
        HeaderCodec headerCodec,
        EventSink events,
        MetricRegistry metrics,
        ResponseMemory responses,
        Map<ServiceId, FleetRetryBudget> retryBudgets,
        ConfirmationQueue confirmations,
        CallerConnectionTracker callers,
        RetryAfterPolicy retryAfter,
        StopState stop) {
    TrafficContext {
        retryBudgets = new HashMap<>(retryBudgets);
    }

    /** Returns what callers may send and how long they may take, by the configuration in force. */
    RequestLimits requestLimits() {
        return upstreams.view().routes().map(routes -> routes.config().limits()).orElse(RequestLimits.DEFAULT);
    }

    /** Returns the retry budget of a service. */
    FleetRetryBudget retryBudget(ServiceId service) {
        FleetRetryBudget budget = retryBudgets.computeIfAbsent(service, absent -> new FleetRetryBudget(bounds, clock));
        budget.setFleetSize(upstreams.view().instances().size());
        return budget;
    }
}
