package org.cuminspur.quarantine;

import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.traffic.UpstreamState;

/** Selects the upstreams for a trial of a quarantined suspect; stateless and thread-safe. */
public final class TrialUpstreams {
    private TrialUpstreams() {}

    /** Returns the younger half of the upstreams, in which those are that start again and again. */
    public static Set<UpstreamId> unsuited(List<UpstreamState> service) {
        return service.stream()
                .sorted(Comparator.comparingLong(state -> -state.entry().startedMillis()))
                .limit(service.size() / 2)
                .map(UpstreamState::id)
                .collect(Collectors.toSet());
    }
}
