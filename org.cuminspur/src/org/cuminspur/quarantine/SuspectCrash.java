package org.cuminspur.quarantine;

import org.cuminspur.traffic.UpstreamProcessId;

/**
 * A suspect of a request that had no answer as its upstream's process ended; immutable.
 *
 * @param process the process that ended, equal at all instances that saw the end
 * @param request hash of the request's identity
 * @param ageMillis time since the process ended
 * @param cleared whether a request with the suspect was answered about then, so that it is not the cause
 */
public record SuspectCrash(
        SuspectId suspect, UpstreamProcessId process, long request, long ageMillis, boolean cleared) {
    /** Returns this fact of a suspect that is not the cause. */
    SuspectCrash asCleared() {
        return new SuspectCrash(suspect, process, request, ageMillis, true);
    }
}
