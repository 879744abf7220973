package org.cuminspur.traffic;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * The upstream chosen for a request, and the reason; immutable.
 *
 * @param cacheSource another upstream that likely has the prompt cached, from which the chosen one should copy it
 * @param estimate the loads that the choice was based on
 */
public record PlacementDecision(
        UpstreamState upstream, Reason reason, Optional<UpstreamState> cacheSource, LoadEstimate estimate) {
    /**
     * Loads in requests in progress, as estimated when an upstream was chosen; immutable.
     *
     * @param load load of the chosen upstream
     * @param mean mean load of the service's upstreams
     * @param limit load above which an upstream gets no requests with shared prompts
     * @param reportAgeMillis time since the chosen upstream's last load report, if it has sent one
     */
    public record LoadEstimate(double load, double mean, double limit, OptionalLong reportAgeMillis) {}

    /** Why an upstream was chosen. */
    public enum Reason {
        /** First in the prompt's order. */
        PROMPT,
        /** Least loaded, for a request without a prompt. */
        LEAST_LOADED,
        /** The first in the prompt's order has reached its load limit, or the request was already sent to it. */
        SPILL_LOAD,
        /** The first in the prompt's order has reached its rate limit. */
        SPILL_RATE,
        /** The first in the prompt's order is ejected, unresponsive or failing. */
        SPILL_UNSOUND
    }
}
