package org.cuminspur.quarantine;

import java.util.function.Consumer;
import org.cuminspur.id.PromptPartId;
import org.cuminspur.traffic.FleetView;
import org.cuminspur.traffic.UpstreamState;

/** How one instance treats requests that may crash upstreams; not thread-safe. */
interface CrashPolicy {
    /** Decides whether a request may be sent to an upstream; the result is passed on at once or later. */
    void admit(SimulatedAttempt attempt, Consumer<Admission> result);

    /** Records that a response went on for a while or was complete. */
    default void answered(SimulatedAttempt attempt) {}

    /** Decides whether a request whose connection broke without an event may be sent to another upstream. */
    void broken(UpstreamState upstream, BrokenRequest request, Consumer<Boolean> result);

    /** Records that an upstream refused a connection. */
    default void refused(UpstreamState upstream) {}

    /** Records that an upstream responded to a request. */
    default void responded(UpstreamState upstream, long sentMillis) {}

    /** Applies a newer view of the fleet. */
    default void update(FleetView view) {}

    /** Returns whether a request is rejected whatever its parts. */
    default boolean blocks(RequestIdentity request) {
        return false;
    }

    /** Returns whether requests with a part are rejected. */
    default boolean blocks(PromptPartId part) {
        return false;
    }
}
