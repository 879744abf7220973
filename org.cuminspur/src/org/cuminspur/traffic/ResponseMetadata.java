package org.cuminspur.traffic;

import java.util.Optional;
import org.cuminspur.balance.UpstreamReport;
import org.cuminspur.ratelimit.NamedLimit;

/**
 * What an upstream's response states apart from its body; immutable.
 *
 * @param requestId id of the request that it answers, if stated
 * @param signed whether it has the upstream's signature, as every complete response does
 * @param notRun whether it states that the request was not run
 * @param load the load that the upstream reports, if any
 * @param limit the rate that it names, if any
 * @param pause how long the upstream, which turned the request away, wants no other, if it states that
 * @param leaving whether it states that the upstream's process takes no new work any more
 */
public record ResponseMetadata(
        Optional<String> requestId,
        boolean signed,
        boolean notRun,
        Optional<UpstreamReport> load,
        Optional<NamedLimit> limit,
        Optional<RequestPause> pause,
        boolean leaving) {
    /**
     * Returns whether the response belongs to a request and, if it claims success, is signed.
     *
     * @param reused whether the connection had served another request, whose response may come once more; one that names no
     *     request is then believed to be of none
     */
    public boolean belongsTo(String request, boolean success, boolean reused) {
        return requestId.map(request::equals).orElse(!success && !reused) && (signed || !success);
    }

    /** Returns whether the response names another request. */
    public boolean namesOther(String request) {
        return requestId.filter(id -> !id.equals(request)).isPresent();
    }
}
