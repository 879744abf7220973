package org.cuminspur.rollout;

import java.util.HashMap;
import java.util.Map;
import org.cuminspur.id.RouteId;

/**
 * Limits what one instance sends to a version without a verdict.
 *
 * <p>Not thread-safe. Each instance stays within its own share: a part of the requests that it sent itself, and an even part
 * of the slack. So the fleet stays within the bound however unevenly callers reach it, and whatever an instance knows of
 * the others. Many instances may have a part of one request each, so they round it up or down by chance.
 *
 * <p>The share starts small, so that a version which fails from the start harms few callers. Routes get it in proportion,
 * since a version may be bad on one only.
 */
final class CanaryBudget {
    /** Part of the bound that is used; the rest is for retries, restarts and requests that cross the verdict. */
    static final double USED_SHARE = 0.8;

    /** Part of the share that a new version gets at first. */
    private static final double INITIAL_SHARE = 0.25;

    /** Part of the time until the promotion over which the share grows. */
    private static final double GROWTH_SHARE = 0.3;

    private static final class RouteUse {
        private long requests;
        private long sent;
    }

    private final RolloutBounds bounds;
    private final RolloutSchedule schedule;
    private final double rounding;
    private final Map<RouteId, RouteUse> routes = new HashMap<>();
    private long requests;
    private long sent;

    /**
     * Creates an unused budget.
     *
     * @param rounding from 0 to 1, evenly distributed over the instances
     */
    CanaryBudget(RolloutBounds bounds, RolloutSchedule schedule, double rounding) {
        this.bounds = bounds;
        this.schedule = schedule;
        this.rounding = rounding;
    }

    /** Records a request of the service, and returns whether it may go to the target. */
    boolean draw(RouteId route, int instances, long elapsedMillis) {
        RouteUse use = routes.computeIfAbsent(route, absent -> new RouteUse());
        use.requests++;
        requests++;
        double growth = Math.min(1, elapsedMillis / (GROWTH_SHARE * schedule.promoteMillis()));
        double allowed = USED_SHARE
                * (INITIAL_SHARE + (1 - INITIAL_SHARE) * growth)
                * (bounds.exposureShare() * requests + bounds.exposureSlack() / Math.max(1, instances));
        boolean routeHasShare = use.sent * requests <= sent * use.requests + requests;
        return sent + 1 <= allowed + rounding && routeHasShare;
    }

    /** Records a request that was sent to the target. */
    void recordSent(RouteId route) {
        routes.computeIfAbsent(route, absent -> new RouteUse()).sent++;
        sent++;
    }
}
