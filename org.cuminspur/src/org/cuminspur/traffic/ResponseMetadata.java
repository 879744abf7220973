package org.cuminspur.traffic;

import java.util.Optional;

/**
 * What an upstream's answer says beside its body; immutable.
 *
 * @param requestId the request that it answers, if it says so
 * @param signed whether it bears the upstream's signature, which a whole answer has
 * @param notRun whether it states that the request was not run
 * @param load the load that the upstream reports
 */
public record ResponseMetadata(
        Optional<String> requestId, boolean signed, boolean notRun, Optional<ReportedLoad> load) {
    /** Requests that an upstream runs and that wait there; immutable. */
    public record ReportedLoad(int running, int waiting) {}
}
