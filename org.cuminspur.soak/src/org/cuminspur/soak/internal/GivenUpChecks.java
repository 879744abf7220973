package org.cuminspur.soak.internal;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.cuminspur.soak.internal.History.Call;
import org.cuminspur.soak.internal.History.Run;

/** The promise on requests that were given up; stateless and thread-safe. */
final class GivenUpChecks {
    /** Time in which an instance notices that its caller has left or that the limit has passed, and what it sent arrives. */
    static final long NOTICE_MS = 1_000;

    /** Disturbances in which an instance does not notice it, or gets the request later than its caller sent it. */
    private static final Set<String> UNNOTICED =
            Set.of("pause", Plan.Kind.CALLERS_SILENT.name(), Plan.Kind.CALLERS_RESET.name());

    private GivenUpChecks() {}

    /** No request reaches an upstream once its caller has had an answer or has left, however long links hold bytes back. */
    static Stream<String> nothingArrivesLater(History history) {
        Map<String, List<Run>> runs = history.runsById();
        return history.calls().stream()
                .flatMap(call -> runs.getOrDefault(call.id(), List.of()).stream()
                        .filter(run -> run.atMillis() > call.endMillis() + NOTICE_MS)
                        .filter(run -> !unnoticed(history, call, run))
                        .map(run -> "after " + call + ": " + run));
    }

    /** Any instance may have passed the request on for another one, so a disturbance of each counts. */
    private static boolean unnoticed(History history, Call call, Run run) {
        return history.faults().stream()
                .filter(fault -> UNNOTICED.contains(fault.kind()))
                .anyMatch(fault -> fault.during(call.sentMillis(), run.atMillis()));
    }
}
