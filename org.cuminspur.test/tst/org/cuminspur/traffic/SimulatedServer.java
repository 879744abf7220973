package org.cuminspur.traffic;

import java.util.LinkedHashSet;
import java.util.Set;

/** One start of a simulated server's process, with the streams that it serves; not thread-safe. */
final class SimulatedServer {
    final UpstreamEntry entry;
    final Set<SimulatedStream> streams = new LinkedHashSet<>();
    boolean running = true;

    SimulatedServer(UpstreamEntry entry) {
        this.entry = entry;
    }
}
