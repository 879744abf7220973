package org.cuminspur.soak.internal;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cuminspur.soak.internal.History.Call;
import org.cuminspur.soak.internal.History.End;
import org.cuminspur.soak.internal.History.Resumption;
import org.cuminspur.soak.internal.History.Run;
import org.cuminspur.soak.internal.History.Said;

/** The promises on streams and the software versions of their upstreams; stateless and thread-safe. */
final class StreamChecks {
    /** Streams that may hold events of two versions. */
    static final int MAX_MIXED = 2;

    /** Fewest resumed streams at which the share that goes on is judged. */
    static final int MIN_RESUMED = 12;

    /** Least share of resumed streams that go on, of the share of new streams that begin. */
    static final double MIN_SHARE = 0.5;

    private static final int MIN_SERVING = 2;
    private static final int OK = 200;

    private StreamChecks() {}

    /** A stream is resumed only at the version of the run that began it, in one answer and over a caller's requests. */
    static Stream<String> keepVersion(History history) {
        List<String> mixed = history.runs().stream()
                .filter(run -> run.kind().resumes())
                .collect(Collectors.groupingBy(Run::stream))
                .values()
                .stream()
                .filter(StreamChecks::mixes)
                .map(List::toString)
                .toList();
        return mixed.size() > MAX_MIXED ? Stream.of(mixed.size() + " streams mix versions: " + mixed) : Stream.empty();
    }

    private static boolean mixes(List<Run> runs) {
        List<Run> ordered =
                runs.stream().sorted(Comparator.comparingLong(Run::atMillis)).toList();
        Optional<Run> began =
                ordered.stream().filter(run -> run.lastEvent() == 0).reduce((first, later) -> later);
        return began.isPresent()
                && ordered.stream()
                        .anyMatch(run -> run.lastEvent() > 0
                                && !run.version().equals(began.get().version()));
    }

    /** Of the streams that callers resume at undisturbed instances, enough reach an upstream. */
    static Stream<String> goOn(History history) {
        Map<String, List<Run>> runs = history.runsById();
        Map<String, List<Run>> byStream = history.runs().stream().collect(Collectors.groupingBy(Run::stream));
        List<Resumption> judged = history.resumptions().stream()
                .filter(resumption -> !Checks.disturbed(
                        history,
                        resumption.instance(),
                        resumption.atMillis() - Checks.CONTACT_MS,
                        resumption.atMillis()))
                .filter(resumption -> byStream.getOrDefault(resumption.stream(), List.of()).stream()
                        .filter(run -> run.lastEvent() == 0)
                        .anyMatch(run -> serving(history, run.version(), resumption.atMillis()) >= MIN_SERVING))
                .toList();
        long wentOn = judged.stream()
                .filter(resumption -> runs.containsKey(resumption.id()))
                .count();
        Set<String> crashing = history.crashingCalls();
        List<Call> fresh = history.calls().stream()
                .filter(call -> !crashing.contains(call.id()))
                .filter(call -> call.kind().resumes() && call.end() != End.NOT_SENT)
                .filter(call -> history.resumptions().stream()
                        .noneMatch(resumption -> resumption.id().equals(call.id())))
                .toList();
        long begun = fresh.stream()
                .filter(call -> call.status() == OK || runs.containsKey(call.id()))
                .count();
        boolean enough = wentOn * (double) fresh.size() >= MIN_SHARE * begun * judged.size();
        return judged.size() < MIN_RESUMED || enough
                ? Stream.empty()
                : Stream.of(wentOn + " of " + judged.size() + " resumed streams went on, and " + begun + " of "
                        + fresh.size() + " new ones began");
    }

    /** Returns the number of upstreams of a version that serve and have not said that they leave. */
    private static long serving(History history, String version, long at) {
        return history.servings().stream()
                .filter(serving -> serving.version().equals(version) && serving.fromMillis() <= at)
                .filter(serving -> history.changes().stream()
                        .noneMatch(change -> change.said() == Said.UPSTREAM_LEAVES
                                && change.subject().equals(serving.upstream())
                                && change.atMillis() <= at))
                .count();
    }
}
