package org.cuminspur.soak.internal;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.cuminspur.soak.internal.History.Call;
import org.cuminspur.soak.internal.History.Change;
import org.cuminspur.soak.internal.History.End;
import org.cuminspur.soak.internal.History.Fault;
import org.cuminspur.soak.internal.History.Run;
import org.cuminspur.soak.internal.History.Said;

/**
 * The promises that a soak checks, each a function from what was seen to what breaks it; stateless and thread-safe.
 *
 * <p>Bounds in time hold for an instance that was undisturbed, as the store was, from {@link #CONTACT_MS} before.
 */
final class Checks {
    /** Time without disturbance after which the bounds on changes hold; the platform's bound for small fleets. */
    static final long CONTACT_MS = 3_000;

    /** How long an upstream that leaves may still get requests; as the settings of the instances say. */
    static final long LEAVE_MS = 2_000;

    /** How long a revoked key may still be used, whatever happens. */
    static final long REVOKE_MS = 5_000;

    /** How long an emptied failure domain may still get requests. */
    static final long EMPTY_MS = 5_000;

    /** Requests that an upstream bears in any second of its first three: 14 x 1.5 + 5. */
    static final int COLD_PER_SECOND = 26;

    static final long COLD_MS = 3_000;

    /** How much later a lower configuration may still be followed, by requests that crossed the change. */
    static final long ROLLBACK_MS = 250;

    /** Time after the last disturbance in which service must be back. */
    static final long RECOVERY_MS = 8_000;

    /** Share of the requests that must be served once service is back. */
    static final double RECOVERED = 0.9;

    /** Statuses that promise that the request has not run and never will. */
    private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);

    /** Least time that an upstream must be told; the shortest answers take half of it. */
    static final long LEAST_OFFER_MS = 30;

    private static final int OK = 200;
    private static final int MIN_FAILURE = 400;
    private static final int MAX_FAILURE = 599;
    private static final int SERVER_ERROR = 500;
    private static final int REDIRECTION = 300;
    private static final long SECOND_MS = 1_000;

    /** All promises by name. */
    static final Map<String, Function<History, Stream<String>>> ALL = Map.ofEntries(
            Map.entry("at-most-once", Checks::atMostOnce),
            Map.entry("true-refusals", Checks::trueRefusals),
            Map.entry("own-whole-answers", Checks::ownWholeAnswers),
            Map.entry("valid-statuses", Checks::validStatuses),
            Map.entry("only-what-was-asked", Checks::onlyWhatWasAsked),
            Map.entry("ready-answers-delivered", Checks::readyAnswersDelivered),
            Map.entry("no-send-for-show", Checks::noSendForShow),
            Map.entry("leaving-gets-nothing", Checks::leavingGetsNothing),
            Map.entry("emptied-gets-nothing", Checks::emptiedGetsNothing),
            Map.entry("revoked-key", Checks::revokedKey),
            Map.entry("no-rollback", Checks::noRollback),
            Map.entry("cold-rate", Checks::coldRate),
            Map.entry("planned-stop-cuts-nothing", Checks::plannedStopCutsNothing),
            Map.entry("recovery", Checks::recovery),
            Map.entry("bad-version-bounded", RolloutChecks::badVersionIsBounded),
            Map.entry("reverted-gets-nothing", RolloutChecks::revertedGetsNothing),
            Map.entry("completion-cuts-nothing", RolloutChecks::completionCutsNothing),
            Map.entry("rollouts-end", RolloutChecks::ends),
            Map.entry("streams-keep-version", StreamChecks::keepVersion),
            Map.entry("streams-go-on", StreamChecks::goOn),
            Map.entry("named-limits", LimitChecks::keptByThoseWhoKnow),
            Map.entry("leaving-in-answers-gets-nothing", WithdrawalChecks::leavingGetsNothing),
            Map.entry("pause-in-answers-is-kept", WithdrawalChecks::pauseIsKept),
            Map.entry("given-up-never-arrives", GivenUpChecks::nothingArrivesLater),
            Map.entry("cut-instances-serve", CutChecks::callersAreServed),
            Map.entry("few-crashing-reach-upstreams", CrashChecks::fewReachUpstreams),
            Map.entry("sound-begin-beside-crashing", CrashChecks::soundOnesBegin));

    private Checks() {}

    /** Returns what breaks any promise, each with the promise's name first. */
    static List<String> violations(History history) {
        return ALL.entrySet().stream()
                .flatMap(check -> check.getValue().apply(history).map(found -> check.getKey() + ": " + found))
                .sorted()
                .toList();
    }

    private static Stream<String> atMostOnce(History history) {
        return history.runsById().values().stream()
                .filter(runs -> runs.size() > 1 && !runs.get(0).kind().repeats())
                .map(runs -> "ran more than once: " + runs);
    }

    private static Stream<String> trueRefusals(History history) {
        Map<String, List<Run>> runs = history.runsById();
        return history.calls().stream()
                .filter(call -> call.end() == End.WHOLE && NOT_RUN.contains(call.status()))
                .filter(call -> !call.kind().repeats() && runs.containsKey(call.id()))
                .map(call -> "refused as not run: " + call + ", but " + runs.get(call.id()));
    }

    private static Stream<String> ownWholeAnswers(History history) {
        return history.calls().stream()
                .filter(call -> call.end() == End.WHOLE && call.status() >= OK && call.status() < REDIRECTION)
                .filter(call -> !call.own())
                .map(call -> "a success that is not the whole own answer: " + call);
    }

    private static Stream<String> onlyWhatWasAsked(History history) {
        Map<String, Call> calls = history.callsById();
        return history.runs().stream()
                .filter(run -> !calls.containsKey(run.id()) || !run.account().equals(Operator.ACCOUNT))
                .map(run -> "no caller asked for " + run);
    }

    /** No answer has a status that neither an upstream nor an instance gives, as broken ones have. */
    private static Stream<String> validStatuses(History history) {
        return history.calls().stream()
                .filter(call -> call.end() == End.WHOLE && call.status() != OK)
                .filter(call -> call.status() < MIN_FAILURE || call.status() > MAX_FAILURE)
                .map(call -> "an answer that nobody gave: " + call);
    }

    /** An upstream that was sound had an answer, and the caller got a failure that is not the upstream's. */
    private static Stream<String> readyAnswersDelivered(History history) {
        Map<String, List<Run>> runs = history.runsById();
        // Upstreams have no answer to these.
        Set<String> crashing = history.crashingCalls();
        return history.calls().stream()
                .filter(call -> call.end() == End.WHOLE && call.status() > SERVER_ERROR)
                .filter(call -> !crashing.contains(call.id()))
                .filter(call -> soundlyRun(history, call, runs.get(call.id())))
                .filter(call -> !disturbed(history, call.instance(), call.sentMillis(), call.endMillis()))
                .map(call -> "an answer was ready: " + call + " " + runs.get(call.id()));
    }

    /** A send with too little time for any answer offers the request to nobody. */
    private static Stream<String> noSendForShow(History history) {
        return history.runs().stream()
                .filter(run -> run.leftMillis() < LEAST_OFFER_MS)
                .map(run -> "offered " + run.leftMillis() + " ms: " + run);
    }

    private static Stream<String> leavingGetsNothing(History history) {
        return changes(history, Said.UPSTREAM_LEAVES)
                .flatMap(left -> history.runs().stream()
                        .filter(run ->
                                run.upstream().equals(left.subject()) && run.atMillis() > left.atMillis() + LEAVE_MS)
                        .filter(run -> inTouch(history, run, left))
                        .map(run -> "after " + left + ": " + run));
    }

    private static Stream<String> emptiedGetsNothing(History history) {
        return changes(history, Said.DOMAIN_EMPTIED).flatMap(emptied -> {
            long until = changes(history, Said.DOMAIN_RESTORED)
                    .filter(back -> back.subject().equals(emptied.subject()) && back.atMillis() > emptied.atMillis())
                    .mapToLong(Change::atMillis)
                    .min()
                    .orElse(Long.MAX_VALUE);
            return history.runs().stream()
                    .filter(run -> run.domain().equals(emptied.subject()) && run.atMillis() < until)
                    .filter(run -> run.atMillis() > emptied.atMillis() + EMPTY_MS && inTouch(history, run, emptied))
                    .map(run -> "after " + emptied + ": " + run);
        });
    }

    private static Stream<String> revokedKey(History history) {
        Map<String, Call> calls = history.callsById();
        return changes(history, Said.KEY_REVOKED)
                .flatMap(revoked -> history.runs().stream()
                        .filter(run -> calls.containsKey(run.id()))
                        .filter(run -> calls.get(run.id()).key().equals(revoked.subject())
                                && calls.get(run.id()).sentMillis() > revoked.atMillis() + REVOKE_MS)
                        .map(run -> "after " + revoked + ": " + calls.get(run.id())));
    }

    /** A start of a process that has served a key knows that the key before it is gone. */
    private static Stream<String> noRollback(History history) {
        Map<String, List<Call>> byStart = history.calls().stream()
                .filter(call -> call.end() == End.WHOLE && call.status() == OK)
                .collect(Collectors.groupingBy(call -> call.instance() + "/" + call.start()));
        return byStart.values().stream()
                .flatMap(calls -> calls.stream()
                        .filter(call -> calls.stream()
                                .anyMatch(newer -> Operator.number(newer.key()) > Operator.number(call.key()) + 1
                                        && newer.endMillis() + ROLLBACK_MS < call.sentMillis()))
                        .map(call -> "an older configuration came back: " + call));
    }

    private static Stream<String> coldRate(History history) {
        return changes(history, Said.UPSTREAM_STARTED).flatMap(started -> {
            long[] times = history.runs().stream()
                    .filter(run -> run.upstream().equals(started.subject()))
                    .mapToLong(Run::atMillis)
                    .filter(at -> at >= started.atMillis() && at < started.atMillis() + COLD_MS)
                    .sorted()
                    .toArray();
            return IntStream.range(COLD_PER_SECOND, times.length)
                    .filter(i -> times[i] - times[i - COLD_PER_SECOND] < SECOND_MS)
                    .limit(1)
                    .mapToObj(
                            i -> started + " got more than " + COLD_PER_SECOND + " within a second up to " + times[i]);
        });
    }

    private static Stream<String> plannedStopCutsNothing(History history) {
        Map<String, List<Run>> runs = history.runsById();
        return history.calls().stream()
                .filter(call -> call.end() == End.CUT)
                .filter(call -> faultsOn(history, call.instance(), call.sentMillis() - CONTACT_MS, call.endMillis())
                        .anyMatch(fault -> fault.kind().equals(Plan.STOP)))
                .filter(call -> faultsOn(history, call.instance(), call.sentMillis() - CONTACT_MS, call.endMillis())
                        .allMatch(fault -> fault.kind().equals(Plan.STOP)))
                .filter(call -> soundlyRun(history, call, runs.get(call.id())))
                .map(call -> "cut in a planned stop: " + call);
    }

    private static Stream<String> recovery(History history) {
        if (history.faults().isEmpty()) {
            return Stream.empty();
        }
        long over = history.faults().stream().mapToLong(Fault::toMillis).max().orElse(0) + RECOVERY_MS;
        Set<String> crashing = history.crashingCalls();
        List<Call> after = history.calls().stream()
                .filter(call -> call.sentMillis() > over && call.status() != 401)
                .filter(call -> !crashing.contains(call.id()))
                .toList();
        long served = after.stream()
                .filter(call -> call.end() == End.WHOLE && call.status() == OK)
                .count();
        return after.isEmpty() || served >= RECOVERED * after.size()
                ? Stream.empty()
                : Stream.of("served " + served + " of " + after.size() + " from " + over + " on");
    }

    private static Stream<Change> changes(History history, Said said) {
        return history.changes().stream().filter(change -> change.said() == said);
    }

    /** Returns whether the instance that sent a run on had been undisturbed since before a change. */
    private static boolean inTouch(History history, Run run, Change since) {
        return history.calls().stream()
                .filter(call -> call.id().equals(run.id()))
                .allMatch(call -> !disturbed(history, call.instance(), since.atMillis() - CONTACT_MS, run.atMillis()));
    }

    /** Returns whether a request was run, and neither its upstreams nor the links to them spoiled its answer. */
    private static boolean soundlyRun(History history, Call call, List<Run> runs) {
        return runs != null
                && runs.stream()
                        .noneMatch(run -> run.broken()
                                || disturbed(history, run.upstream(), call.sentMillis(), call.endMillis()));
    }

    static boolean disturbed(History history, String target, long from, long to) {
        return faultsOn(history, target, from, to).findAny().isPresent();
    }

    private static Stream<Fault> faultsOn(History history, String target, long from, long to) {
        return history.faults().stream()
                .filter(fault -> fault.target().isEmpty() || fault.target().equals(target))
                .filter(fault -> fault.during(from, to));
    }
}
