package org.cuminspur.ratelimit;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.cuminspur.traffic.FleetView;
import org.cuminspur.traffic.PromptPlacement;
import org.cuminspur.traffic.UpstreamState;

/** How one instance keeps the limits that upstreams name; not thread-safe. */
interface LimitPolicy {
    /** Records what a response named. */
    void responded(UpstreamState upstream, long sentMillis, Optional<NamedLimit> limit);

    /** Chooses the upstream for a request; the result is passed on at once or soon, empty if none may take it. */
    void choose(
            List<UpstreamState> service, PromptPlacement.Criteria criteria, Consumer<Optional<UpstreamState>> result);

    /** Applies a newer view of the fleet. */
    default void update(FleetView view) {}
}
