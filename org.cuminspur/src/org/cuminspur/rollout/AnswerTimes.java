package org.cuminspur.rollout;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalDouble;
import org.cuminspur.id.RouteId;
import org.cuminspur.id.ServiceId;
import org.cuminspur.traffic.PromptDescription;

/**
 * What one instance knows of the times that answers usually take, by route.
 *
 * <p>Not thread-safe; confined to the traffic thread. Kept without a roll-out too, since an instance that sees a request now
 * and then would know too little by the time that it has to tell a slow version. Holds the routes that were called last.
 */
final class AnswerTimes {
    /** A route's times take a kilobyte. */
    private static final int MAX_ROUTES = 512;

    /** Factor on the estimated time to read a prompt; other prompts are read in between. */
    private static final double READ_TIME_FACTOR = 2;

    private final Map<RouteId, RouteBaseline> routes = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<RouteId, RouteBaseline> eldest) {
            return size() > MAX_ROUTES;
        }
    };
    private final Map<ServiceId, PromptReadCost> readCosts = new LinkedHashMap<>();

    /** Records an answer of a version in service. */
    void record(ServiceId service, RouteId route, PromptDescription prompt, double firstMillis, OptionalDouble pace) {
        RouteBaseline baseline = routes.computeIfAbsent(route, absent -> new RouteBaseline());
        baseline.recordFirstByte(firstMillis);
        pace.ifPresent(baseline::recordPace);
        if (prompt.promptTokens() > 0) {
            readCosts
                    .computeIfAbsent(service, absent -> new PromptReadCost())
                    .record(prompt.promptTokens() - prompt.sharedPrefixTokens(), firstMillis);
        }
    }

    /**
     * Returns the time to the first byte from which an answer is slow, infinity if too little is known.
     *
     * @param readsAll whether the upstream's cache may lack the shared parts of the prompt
     */
    double slowFirstMillis(ServiceId service, RouteId route, PromptDescription prompt, boolean readsAll) {
        RouteBaseline baseline = routes.get(route);
        if (baseline == null) {
            return Double.POSITIVE_INFINITY;
        }
        int sharedTokens = readsAll ? prompt.sharedPrefixTokens() : 0;
        if (sharedTokens == 0) {
            return baseline.slowFirstByteMillis();
        }
        PromptReadCost cost = readCosts.get(service);
        OptionalDouble millisPerToken = cost == null ? OptionalDouble.empty() : cost.millisPerToken();
        return millisPerToken.isEmpty()
                ? Double.POSITIVE_INFINITY
                : baseline.slowFirstByteMillis() + READ_TIME_FACTOR * sharedTokens * millisPerToken.getAsDouble();
    }

    /** Returns the time for each kilobyte from which an answer is slow, infinity if too little is known. */
    double slowPaceMillis(RouteId route) {
        RouteBaseline baseline = routes.get(route);
        return baseline == null ? Double.POSITIVE_INFINITY : baseline.slowPaceMillis();
    }
}
