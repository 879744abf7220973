package org.cuminspur.router.internal.traffic;

import java.util.List;
import java.util.stream.Collectors;
import org.cuminspur.event.EventSink;
import org.cuminspur.quarantine.BrokenRequest;
import org.cuminspur.quarantine.UpstreamEnd;
import org.cuminspur.router.internal.caller.ResponseEndCounters;

/** Logs what was in progress at an upstream as its process ended; stateless and thread-safe. */
final class UpstreamEndLog {
    /** Requests that a line names at most. */
    private static final int MAX_REQUESTS = 8;

    private UpstreamEndLog() {}

    static void log(EventSink events, UpstreamEnd end) {
        List<BrokenRequest> unanswered = end.inProgress().stream()
                .filter(request -> request.answeredMillis() == BrokenRequest.NOT_ANSWERED)
                .toList();
        events.emit(
                "upstream-ended",
                "upstream",
                end.upstream().id().value(),
                "startedMillis",
                end.upstream().startedMillis(),
                "proof",
                ResponseEndCounters.label(end.proof()),
                "inProgress",
                end.inProgress().size(),
                "unanswered",
                unanswered.size(),
                "unansweredRequests",
                unanswered.stream()
                        .limit(MAX_REQUESTS)
                        .map(request -> request.requestId() + ":" + request.suspects())
                        .collect(Collectors.joining(" ")));
    }
}
