package org.cuminspur.traffic;

import java.util.Optional;

/**
 * The upstream chosen for a request, and the reason; immutable.
 *
 * @param cacheSource another upstream that likely has the prompt cached, from which the chosen one should copy it
 */
public record PlacementDecision(UpstreamState upstream, Reason reason, Optional<UpstreamState> cacheSource) {
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
