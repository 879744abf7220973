package org.cuminspur.once;

import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cuminspur.errors.ErrorKind;
import org.cuminspur.errors.RunState;
import org.cuminspur.testing.once.SimulatedFleet;
import org.cuminspur.testing.once.SimulatedRequest;

/** Finds violations of the at-most-once rules in a run; stateless and thread-safe. */
final class AtMostOnceChecker {
    private AtMostOnceChecker() {}

    /** Returns each safety violation; these rules hold under all faults. */
    static List<String> violations(SimulatedFleet fleet) {
        Map<ActionId, List<SimulatedRequest>> byAction =
                fleet.requests().stream().collect(Collectors.groupingBy(SimulatedRequest::action));
        Stream<String> single = fleet.requests().stream().flatMap(AtMostOnceChecker::requestViolations);
        Stream<String> grouped = byAction.values().stream().flatMap(AtMostOnceChecker::actionViolations);
        return Stream.concat(single, grouped).toList();
    }

    /**
     * Returns each violation among the final repeats of every action, which are sent to all live routers in turn long
     * after the faults ended: an action that ran is never reported as not run, a known answer is replayed, and no key
     * stays blocked unless the action may have run.
     */
    static List<String> recoveryViolations(SimulatedFleet fleet, List<SimulatedRequest> finalRepeats, boolean killed) {
        return finalRepeats.stream()
                .flatMap(repeat -> recoveryViolations(
                        repeat,
                        fleet.requests().stream()
                                .filter(request -> request.action().equals(repeat.action()))
                                .toList(),
                        killed))
                .toList();
    }

    private static Stream<String> requestViolations(SimulatedRequest request) {
        boolean saidNotRun = refusedWith(request, state -> state == RunState.NOT_RUN);
        boolean ownAnswer = request.response().isDefined() && request.refusal().isEmpty() && !request.replayed();
        return Stream.of(
                        violationIf(saidNotRun && request.executions() > 0, "ran, was reported as not run"),
                        violationIf(saidNotRun && request.sent(), "has an unknown outcome, was reported as not run"),
                        violationIf(
                                ownAnswer && request.executions() != 1,
                                "was answered, ran " + request.executions() + " times"))
                .flatMap(Function.identity())
                .map(text -> request + ": " + text);
    }

    private static Stream<String> actionViolations(List<SimulatedRequest> requests) {
        int executions = executions(requests);
        List<StoredAnswer> answers = answers(requests, request -> !request.replayed());
        Stream<String> repeats = requests.stream()
                .filter(SimulatedRequest::replayed)
                .filter(request -> executions == 0
                        || (!answers.isEmpty()
                                && !answers.contains(request.response().get().get())))
                .map(request -> request + ": replayed an answer that was not the first");
        Stream<String> ran = requests.stream()
                .filter(request -> refusedWith(request, state -> state == RunState.RAN) && executions == 0)
                .map(request -> request + ": was reported as run, but did not run");
        return Stream.of(
                        violationIf(executions > 1, requests.get(0).action().key() + " ran " + executions + " times"),
                        repeats,
                        ran)
                .flatMap(Function.identity());
    }

    private static Stream<String> recoveryViolations(
            SimulatedRequest repeat, List<SimulatedRequest> all, boolean killed) {
        boolean ran = executions(all) > 0;
        boolean reused = repeat.refusal().exists(refusal -> refusal.kind() == ErrorKind.KEY_REUSED);
        boolean answeredBefore = all.stream()
                .anyMatch(request -> request != repeat
                        && request.number() < repeat.number()
                        && request.fingerprint().equals(repeat.fingerprint())
                        && request.response().exists(response -> response.isRight()));
        boolean mayHaveRun = killed || all.stream().anyMatch(request -> request != repeat && request.sent());
        return Stream.of(
                        violationIf(repeat.response().isEmpty(), "received no response"),
                        violationIf(
                                ran && !reused && refusedWith(repeat, state -> state == RunState.NOT_RUN),
                                "its action ran, it was reported as not run"),
                        violationIf(
                                repeat.refusal().exists(refusal -> refusal.kind() == ErrorKind.KEY_IN_PROGRESS),
                                "was refused as in progress, but nothing is"),
                        violationIf(
                                answeredBefore && !killed && repeat.refusal().isDefined(),
                                "was refused, although the first answer is known"),
                        violationIf(!mayHaveRun && repeat.refusal().isDefined(), "nothing ran, its key stays blocked"))
                .flatMap(Function.identity())
                .map(text -> repeat + ": " + text);
    }

    private static int executions(List<SimulatedRequest> requests) {
        return requests.stream().mapToInt(SimulatedRequest::executions).sum();
    }

    private static List<StoredAnswer> answers(List<SimulatedRequest> requests, Predicate<SimulatedRequest> wanted) {
        return requests.stream()
                .filter(wanted)
                .flatMap(request -> request.response().toJavaStream())
                .filter(response -> response.isRight())
                .map(response -> response.get())
                .toList();
    }

    private static boolean refusedWith(SimulatedRequest request, Predicate<RunState> wanted) {
        return request.refusal().exists(refusal -> wanted.test(refusal.kind().runState()));
    }

    private static Stream<String> violationIf(boolean violated, String text) {
        return violated ? Stream.of(text) : Stream.empty();
    }
}
