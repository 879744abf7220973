package org.cuminspur.benchmarks.replay;

import java.util.Optional;
import java.util.Set;
import org.cuminspur.benchmarks.trace.Trace.Request;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.routing.UpstreamSet;
import org.cuminspur.routing.UpstreamView;

/** Chooses the upstream of a request, as one router would; used by one thread. */
@FunctionalInterface
interface ReplayPolicy {
    /** Returns the chosen upstream with a request started on its tracker. */
    Optional<UpstreamView> place(UpstreamSet set, Request request, Set<UpstreamId> excluded);
}
