package org.cuminspur.traffic;

import org.cuminspur.id.UpstreamId;

/**
 * Tells other instances of the load that an upstream reported to the sender; immutable.
 *
 * @param startedMillis start of the upstream's process, in milliseconds since the epoch
 * @param load requests running and waiting at the upstream, from 0 to {@link #MAX_LOAD}
 */
public record LoadNotice(UpstreamId upstream, long startedMillis, int load) {
    /** Largest load that a notice can state; higher ones are stated as this. */
    public static final int MAX_LOAD = 0xFFFF;

    public LoadNotice {
        if (load < 0 || load > MAX_LOAD) {
            throw new IllegalArgumentException("load out of range: " + load);
        }
    }
}
