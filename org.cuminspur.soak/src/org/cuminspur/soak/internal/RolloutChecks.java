package org.cuminspur.soak.internal;

import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.cuminspur.soak.internal.History.Call;
import org.cuminspur.soak.internal.History.End;
import org.cuminspur.soak.internal.History.Rollout;
import org.cuminspur.soak.internal.History.Run;

/** The promises on roll-outs; stateless and thread-safe. */
final class RolloutChecks {
    /** Largest share of a service's requests that a bad version may get; as the settings of the instances say. */
    private static final double EXPOSURE_SHARE = 0.1;

    /** Requests beyond the share: each start of an instance may round its part up, and streams of the version go on. */
    private static final int EXPOSURE_SLACK = 20;

    /** Bad answers from which a version cannot be taken for good by chance. */
    private static final int CERTAINLY_BAD = 12;

    /** Time in which a change in the store is in force. */
    private static final long CHANGE_MS = 3_000;

    private static final String COMPLETED = "completed";
    private static final String REVERTED = "reverted";

    private RolloutChecks() {}

    /** A bad version gets no more than its share, and is not completed once it has shown what it is. */
    static Stream<String> badVersionIsBounded(History history) {
        return history.rollouts().stream().filter(Rollout::bad).flatMap(rollout -> {
            List<Run> runs = runs(history, rollout);
            List<Run> exposed = runs.stream()
                    .filter(run -> run.version().equals(rollout.target()))
                    .toList();
            long failed = exposed.stream().filter(Run::broken).count();
            Stream<String> tooMany = exposed.size() > EXPOSURE_SHARE * runs.size() + EXPOSURE_SLACK
                    ? Stream.of(exposed.size() + " of " + runs.size() + " requests went to a bad version: " + rollout)
                    : Stream.empty();
            Stream<String> completed = rollout.state().equals(COMPLETED) && failed >= CERTAINLY_BAD
                    ? Stream.of("completed after " + failed + " bad answers: " + rollout)
                    : Stream.empty();
            return Stream.concat(tooMany, completed);
        });
    }

    /** A version that is reverted gets nothing more from instances that could know. */
    static Stream<String> revertedGetsNothing(History history) {
        Map<String, Call> calls = history.callsById();
        return history.rollouts().stream()
                .filter(rollout -> rollout.state().equals(REVERTED))
                .flatMap(rollout -> history.runs().stream()
                        .filter(run -> run.version().equals(rollout.target()))
                        .filter(run -> run.atMillis() > rollout.endMillis() + CHANGE_MS)
                        .filter(run -> calls.containsKey(run.id())
                                && !Checks.disturbed(
                                        history,
                                        calls.get(run.id()).instance(),
                                        rollout.endMillis() - Checks.CONTACT_MS,
                                        run.atMillis()))
                        .map(run -> "after the end of " + rollout + ": " + run));
    }

    /** No request is under way at the versions that stop as the target is completed. */
    static Stream<String> completionCutsNothing(History history) {
        Map<String, List<Run>> runs = history.runsById();
        return history.rollouts().stream()
                .filter(rollout -> rollout.state().equals(COMPLETED))
                .flatMap(rollout -> history.calls().stream()
                        .filter(call -> call.sentMillis() < rollout.endMillis()
                                && call.endMillis() >= rollout.endMillis()
                                && call.end() != End.WHOLE)
                        .filter(call -> runs.getOrDefault(call.id(), List.of()).stream()
                                .anyMatch(
                                        run -> ofService(run) && !run.version().equals(rollout.target())))
                        .filter(call -> !Checks.disturbed(
                                history, call.instance(), rollout.orderMillis() - Checks.CONTACT_MS, call.endMillis()))
                        .map(call -> "cut by the end of " + rollout + ": " + call));
    }

    /** A roll-out ends, if the store and the instances are there for its time. */
    static Stream<String> ends(History history) {
        return history.rollouts().stream()
                .filter(rollout ->
                        !rollout.state().equals(COMPLETED) && !rollout.state().equals(REVERTED))
                .map(rollout -> "did not end: " + rollout);
    }

    private static List<Run> runs(History history, Rollout rollout) {
        return history.runs().stream()
                .filter(RolloutChecks::ofService)
                .filter(run -> run.atMillis() >= rollout.orderMillis() && run.atMillis() < rollout.limitMillis())
                .toList();
    }

    private static boolean ofService(Run run) {
        return !run.kind().stream();
    }
}
