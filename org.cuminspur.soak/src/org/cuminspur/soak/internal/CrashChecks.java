package org.cuminspur.soak.internal;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cuminspur.soak.internal.History.Call;
import org.cuminspur.soak.internal.History.Crash;
import org.cuminspur.soak.internal.History.Prompt;
import org.cuminspur.soak.internal.History.Run;

/** The promises while requests with one part in their prompts, or repeats of one, crash upstreams; stateless and thread-safe. */
final class CrashChecks {
    /** Crashes from which the fleet must know a part. */
    static final int KNOWN_PART_CRASHES = 5;

    /** Crashes from which the fleet must know a request. */
    static final int KNOWN_REQUEST_CRASHES = 3;

    /** Requests of one cause that may still reach upstreams. */
    static final int MAX_LATE_RUNS = 3;

    /** Fewest sound requests in each period at which shares are judged. */
    static final int MIN_JUDGED = 20;

    /** Least share of sound requests that begin, of the share at other times. */
    static final double MIN_SHARE = 0.5;

    /** The requests of one cause and the crashes under them; immutable. */
    private record Series(String cause, List<Prompt> prompts, List<Crash> crashes, long lastSentMillis) {
        private long knownMillis() {
            return crashes.get(Math.min(CrashCause.knownCrashes(cause), crashes.size()) - 1)
                    .atMillis();
        }
    }

    private CrashChecks() {}

    /** Few requests of one cause reach upstreams once enough of them have crashed under it. */
    static Stream<String> fewReachUpstreams(History history) {
        Map<String, Call> calls = history.callsById();
        return series(history).entrySet().stream()
                .filter(series -> series.getValue().crashes().size() >= CrashCause.knownCrashes(series.getKey()))
                .flatMap(series -> {
                    long from = series.getValue().knownMillis() + Checks.CONTACT_MS;
                    Set<String> ids = series.getValue().prompts().stream()
                            .map(Prompt::call)
                            .collect(Collectors.toSet());
                    List<Run> late = history.runs().stream()
                            .filter(run -> ids.contains(run.id()) && run.atMillis() > from)
                            .filter(run -> calls.containsKey(run.id())
                                    && inTouch(history, calls.get(run.id()).instance(), run.atMillis()))
                            .toList();
                    return late.size() > MAX_LATE_RUNS
                            ? Stream.of(late.size() + " with " + series.getKey() + " after " + from + ": " + late)
                            : Stream.empty();
                });
    }

    /** Sound requests of the same kinds that share their first part with the others begin all the same. */
    static Stream<String> soundOnesBegin(History history) {
        Map<String, Call> calls = history.callsById();
        return series(history).entrySet().stream().flatMap(series -> {
            Series seen = series.getValue();
            Set<String> firstParts =
                    seen.prompts().stream().map(Prompt::firstPart).collect(Collectors.toSet());
            Set<History.Kind> kinds = seen.prompts().stream()
                    .flatMap(prompt -> Optional.ofNullable(calls.get(prompt.call())).stream())
                    .map(Call::kind)
                    .collect(Collectors.toSet());
            List<Prompt> sound = history.prompts().stream()
                    .filter(prompt -> prompt.crashCause().isEmpty() && firstParts.contains(prompt.firstPart()))
                    .filter(prompt -> calls.containsKey(prompt.call()))
                    .filter(prompt -> kinds.contains(calls.get(prompt.call()).kind()))
                    .filter(prompt -> inTouch(
                            history,
                            calls.get(prompt.call()).instance(),
                            calls.get(prompt.call()).sentMillis()))
                    .toList();
            long from = seen.knownMillis() + 2 * Checks.CONTACT_MS;
            List<Prompt> meanwhile =
                    sent(sound, calls, call -> call.sentMillis() > from && call.sentMillis() <= seen.lastSentMillis());
            List<Prompt> otherwise = sent(
                    sound,
                    calls,
                    call -> call.sentMillis() < seen.crashes().get(0).atMillis()
                            || call.sentMillis() > seen.lastSentMillis() + Checks.CONTACT_MS);
            boolean judged = meanwhile.size() >= MIN_JUDGED && otherwise.size() >= MIN_JUDGED;
            return judged && begun(meanwhile) < MIN_SHARE * begun(otherwise)
                    ? Stream.of(series.getKey() + ": sound requests begun " + begun(meanwhile) + " of "
                            + meanwhile.size() + ", at other times " + begun(otherwise) + " of " + otherwise.size())
                    : Stream.empty();
        });
    }

    private static Map<String, Series> series(History history) {
        Map<String, Call> calls = history.callsById();
        Map<String, List<Crash>> crashes = history.crashes().stream().collect(Collectors.groupingBy(Crash::cause));
        return crashes.entrySet().stream().collect(Collectors.toMap(Map.Entry::getKey, entry -> {
            List<Prompt> prompts = history.prompts().stream()
                    .filter(prompt -> prompt.crashCause().equals(entry.getKey()))
                    .toList();
            long lastSent = prompts.stream()
                    .flatMap(prompt -> Optional.ofNullable(calls.get(prompt.call())).stream())
                    .mapToLong(Call::sentMillis)
                    .max()
                    .orElse(0);
            return new Series(entry.getKey(), prompts, entry.getValue(), lastSent);
        }));
    }

    private static List<Prompt> sent(List<Prompt> prompts, Map<String, Call> calls, Predicate<Call> when) {
        return prompts.stream()
                .filter(prompt -> when.test(calls.get(prompt.call())))
                .toList();
    }

    private static double begun(List<Prompt> prompts) {
        return (double) prompts.stream().filter(Prompt::begun).count() / prompts.size();
    }

    private static boolean inTouch(History history, String instance, long at) {
        return !Checks.disturbed(history, instance, at - Checks.CONTACT_MS, at);
    }
}
