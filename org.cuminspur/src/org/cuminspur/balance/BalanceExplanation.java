package org.cuminspur.balance;

import java.util.List;
import java.util.Optional;
import org.cuminspur.id.InstanceId;
import org.cuminspur.traffic.UpstreamProcessId;

/**
 * Who assigns the requests of a service now, and what this instance knows if it does; immutable.
 *
 * @param assigner the instance that assigns them
 * @param waiting requests of all instances that wait here
 * @param choice where a request would go, empty if there is no room or another instance assigns
 */
public record BalanceExplanation(
        InstanceId assigner, int waiting, Optional<UpstreamProcessId> choice, List<Figures> figures) {
    public BalanceExplanation {
        figures = List.copyOf(figures);
    }

    /**
     * What the assigning instance knows of an upstream; immutable.
     *
     * @param held requests that it is expected to hold
     * @param limit requests that it may hold
     * @param slowness how long work takes there, as a multiple of the usual time
     * @param errorShare share of requests that ended in an error lately
     */
    public record Figures(
            UpstreamProcessId upstream, double held, int limit, boolean hasRoom, double slowness, double errorShare) {}
}
