package org.cuminspur.once;

import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cuminspur.errors.ErrorKind;
import org.cuminspur.errors.RunState;
import org.cuminspur.testing.once.OnceFleet;
import org.cuminspur.testing.once.OnceRequest;

/** Says where a run broke the rules of actions that run at most once; stateless and thread-safe. */
final class OnceChecker {
    private OnceChecker() {}

    /** Returns each violation of safety, whatever faults there were. */
    static List<String> violations(OnceFleet fleet) {
        Map<ActionId, List<OnceRequest>> byAction =
                fleet.requests().stream().collect(Collectors.groupingBy(OnceRequest::action));
        Stream<String> single = fleet.requests().stream().flatMap(OnceChecker::untrue);
        Stream<String> grouped = byAction.values().stream().flatMap(OnceChecker::inconsistent);
        return Stream.concat(single, grouped).toList();
    }

    /**
     * Returns each violation among the last repeats of every action, made one after another on all live routers long
     * after the faults ended: what ran is told so, what was answered is answered again, and no key is stuck for no
     * reason.
     */
    static List<String> unsettled(OnceFleet fleet, List<OnceRequest> last, boolean killed) {
        return last.stream()
                .flatMap(repeat -> unsettled(
                        repeat,
                        fleet.requests().stream()
                                .filter(request -> request.action().equals(repeat.action()))
                                .toList(),
                        killed))
                .toList();
    }

    private static Stream<String> untrue(OnceRequest request) {
        boolean saidNotRun = said(request, state -> state == RunState.NOT_RUN);
        boolean own = request.told().isDefined() && request.refusal().isEmpty() && !request.repeated();
        return Stream.of(
                        rule(saidNotRun && request.executions() > 0, "ran, was called not run"),
                        rule(saidNotRun && request.sent(), "has an unknown outcome, was called not run"),
                        rule(own && request.executions() != 1, "was answered, ran " + request.executions() + " times"))
                .flatMap(Function.identity())
                .map(text -> request + ": " + text);
    }

    private static Stream<String> inconsistent(List<OnceRequest> requests) {
        int executions = executions(requests);
        List<StoredAnswer> answers = answers(requests, request -> !request.repeated());
        Stream<String> repeats = requests.stream()
                .filter(OnceRequest::repeated)
                .filter(request -> executions == 0
                        || (!answers.isEmpty()
                                && !answers.contains(request.told().get().get())))
                .map(request -> request + ": is not the first answer");
        Stream<String> ran = requests.stream()
                .filter(request -> said(request, state -> state == RunState.RAN) && executions == 0)
                .map(request -> request + ": did not run");
        return Stream.of(
                        rule(executions > 1, requests.get(0).action().key() + " ran " + executions + " times"),
                        repeats,
                        ran)
                .flatMap(Function.identity());
    }

    private static Stream<String> unsettled(OnceRequest repeat, List<OnceRequest> all, boolean killed) {
        boolean ran = executions(all) > 0;
        boolean reused = repeat.refusal().exists(refusal -> refusal.kind() == ErrorKind.KEY_REUSED);
        boolean answeredBefore = all.stream()
                .anyMatch(request -> request != repeat
                        && request.number() < repeat.number()
                        && request.fingerprint().equals(repeat.fingerprint())
                        && request.told().exists(told -> told.isRight()));
        boolean doubtful = killed || all.stream().anyMatch(request -> request != repeat && request.sent());
        return Stream.of(
                        rule(repeat.told().isEmpty(), "was told nothing"),
                        rule(
                                ran && !reused && said(repeat, state -> state == RunState.NOT_RUN),
                                "its action ran, it was called not run"),
                        rule(
                                repeat.refusal().exists(refusal -> refusal.kind() == ErrorKind.KEY_IN_PROGRESS),
                                "nothing is in progress"),
                        rule(
                                answeredBefore && !killed && repeat.refusal().isDefined(),
                                "the first answer is known, it was refused"),
                        rule(!doubtful && repeat.refusal().isDefined(), "nothing ran, its key is stuck"))
                .flatMap(Function.identity())
                .map(text -> repeat + ": " + text);
    }

    private static int executions(List<OnceRequest> requests) {
        return requests.stream().mapToInt(OnceRequest::executions).sum();
    }

    private static List<StoredAnswer> answers(List<OnceRequest> requests, Predicate<OnceRequest> wanted) {
        return requests.stream()
                .filter(wanted)
                .flatMap(request -> request.told().toJavaStream())
                .filter(told -> told.isRight())
                .map(told -> told.get())
                .toList();
    }

    private static boolean said(OnceRequest request, Predicate<RunState> wanted) {
        return request.refusal().exists(refusal -> wanted.test(refusal.kind().runState()));
    }

    private static Stream<String> rule(boolean broken, String text) {
        return broken ? Stream.of(text) : Stream.empty();
    }
}
