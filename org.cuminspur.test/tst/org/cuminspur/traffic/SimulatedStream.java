package org.cuminspur.traffic;

import java.util.Optional;
import org.cuminspur.id.SoftwareVersion;
import org.cuminspur.id.StreamId;

/** A simulated caller's stream over all its requests; not thread-safe. */
final class SimulatedStream {
    final StreamId id;
    final long endMillis;

    /** The version that delivered the first event, null before. */
    SoftwareVersion began;

    /** The instance that serves the current request. */
    SimulatedStreamInstance instance;

    /** The version to which the instance that served the first event binds the stream. */
    Optional<SoftwareVersion> bound = Optional.empty();

    boolean mixed;
    boolean resumedByCaller;
    boolean ended;

    SimulatedStream(long number, long endMillis) {
        this.id = StreamId.ofRequest("attempt-" + number);
        this.endMillis = endMillis;
    }
}
