package org.cuminspur.quarantine;

import java.util.List;
import org.cuminspur.traffic.UpstreamEntry;

/**
 * The end of an upstream's process while requests of this instance were in progress there; immutable.
 *
 * @param upstream the last entry of the process
 * @param inProgress the requests whose connections broke with it
 */
public record UpstreamEnd(UpstreamEntry upstream, Proof proof, List<BrokenRequest> inProgress) {
    /** How it became known that the process ended, and not just connections to it. */
    public enum Proof {
        /** It no longer listens. */
        CONNECTION_REFUSED,
        /** Its entry was removed. */
        ENTRY_REMOVED,
        /** Its entry states another process. */
        ENTRY_REPLACED
    }

    public UpstreamEnd {
        inProgress = List.copyOf(inProgress);
    }
}
