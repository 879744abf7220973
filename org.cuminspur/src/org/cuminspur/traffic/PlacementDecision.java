package org.cuminspur.traffic;

import java.util.Optional;

/**
 * The upstream that was chosen for a request, and why; immutable.
 *
 * @param reason why it was not the first in the prompt's order, or that it was
 * @param cacheSource another upstream that likely keeps the prompt, from which the chosen one should copy it
 */
public record PlacementDecision(UpstreamState upstream, Reason reason, Optional<UpstreamState> cacheSource) {
    /** Why an upstream was chosen. */
    public enum Reason {
        /** It is the first in the prompt's order. */
        PROMPT,
        /** The request has no prompt; it is the least loaded. */
        LEAST_LOADED,
        /** The first in the prompt's order holds its part of the load. */
        SPILL_LOAD,
        /** The first has had its part of this second's requests. */
        SPILL_RATE,
        /** The first is left out, silent or failing. */
        SPILL_UNSOUND
    }
}
