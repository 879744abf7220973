package org.cuminspur.ratelimit;

import java.util.Optional;
import java.util.function.Consumer;
import org.cuminspur.traffic.FleetView;
import org.cuminspur.traffic.UpstreamState;

/** How one instance keeps the limits that upstreams name; not thread-safe. */
interface LimitPolicy {
    /** Records what a response named. */
    void responded(UpstreamState upstream, long sentMillis, Optional<NamedLimit> limit);

    /** Decides whether a request may be sent to an upstream; the result is passed on at once or soon. */
    void acquire(UpstreamState upstream, Consumer<Boolean> granted);

    /** Applies a newer view of the fleet. */
    default void update(FleetView view) {}
}
