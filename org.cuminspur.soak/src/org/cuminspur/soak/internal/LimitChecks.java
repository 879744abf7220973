package org.cuminspur.soak.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.cuminspur.soak.internal.History.Call;
import org.cuminspur.soak.internal.History.Change;
import org.cuminspur.soak.internal.History.Run;
import org.cuminspur.soak.internal.History.Said;

/** The promise on the limits that upstreams name; stateless and thread-safe. */
final class LimitChecks {
    static final long WINDOW_MS = 4_000;

    /** Requests that may reach an upstream in a window: half as many again as it names, and five. */
    static final int MAX_IN_WINDOW = (int) (1.5 * SoakUpstream.LIMIT_PER_SECOND * WINDOW_MS / 1_000 + 5);

    /** Time from a request that was answered with the limit from which those of its instance count. */
    private static final long KNOWN_MS = 800;

    private LimitChecks() {}

    /** An upstream that names a limit gets no more from undisturbed instances that got an answer which names it. */
    static Stream<String> keptByThoseWhoKnow(History history) {
        Map<String, Call> calls = history.callsById();
        return history.changes().stream()
                .filter(change -> change.said() == Said.LIMIT_NAMED)
                .flatMap(named -> over(history, calls, named));
    }

    private static Stream<String> over(History history, Map<String, Call> calls, Change named) {
        long until = history.changes().stream()
                .filter(change ->
                        change.said() == Said.LIMIT_ENDED && change.subject().equals(named.subject()))
                .mapToLong(Change::atMillis)
                .filter(at -> at > named.atMillis())
                .min()
                .orElse(Long.MAX_VALUE);
        List<Run> runs = history.runs().stream()
                .filter(run -> run.upstream().equals(named.subject()) && calls.containsKey(run.id()))
                .filter(run -> run.atMillis() > named.atMillis() && run.atMillis() < until)
                .sorted(Comparator.comparingLong(Run::atMillis))
                .toList();
        Map<String, Long> knownMillis = new HashMap<>();
        List<Long> counted = new ArrayList<>();
        for (Run run : runs) {
            String instance = calls.get(run.id()).instance();
            boolean knows = run.atMillis() - knownMillis.getOrDefault(instance, Long.MAX_VALUE / 2) >= KNOWN_MS;
            if (knows
                    && run.atMillis() >= named.atMillis() + Checks.CONTACT_MS
                    && !Checks.disturbed(history, instance, run.atMillis() - Checks.CONTACT_MS, run.atMillis())) {
                counted.add(run.atMillis());
            }
            if (!run.broken()) {
                knownMillis.putIfAbsent(instance, run.atMillis());
            }
        }
        return IntStream.range(MAX_IN_WINDOW, counted.size())
                .filter(i -> counted.get(i) - counted.get(i - MAX_IN_WINDOW) < WINDOW_MS)
                .limit(1)
                .mapToObj(i -> named + " got more than " + MAX_IN_WINDOW + " in 4 s up to " + counted.get(i));
    }
}
