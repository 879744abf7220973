package org.cuminspur.router.internal.traffic;

import java.util.Optional;
import org.cuminspur.id.SoftwareVersion;
import org.cuminspur.traffic.UpstreamState;

/**
 * The software version at which a request's stream may go on; used on the traffic thread.
 *
 * <p>Until an event is delivered any version may serve the stream. From then on only the version that delivered it may.
 */
final class StreamContinuation {
    private Optional<SoftwareVersion> version = Optional.empty();

    /** Returns the only version that may take the next attempt, empty if any may. */
    Optional<SoftwareVersion> version() {
        return version;
    }

    /** Records that an upstream's events are delivered to the caller. */
    void delivered(UpstreamState upstream) {
        if (version.isEmpty()) {
            version = Optional.of(upstream.entry().version());
        }
    }
}
