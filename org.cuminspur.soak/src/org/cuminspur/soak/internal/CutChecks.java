package org.cuminspur.soak.internal;

import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.cuminspur.soak.internal.History.Call;
import org.cuminspur.soak.internal.History.End;
import org.cuminspur.soak.internal.History.Fault;

/** The promise on instances that are cut off from upstreams; stateless and thread-safe. */
final class CutChecks {
    private static final double MIN_RATIO = 2.0 / 3;
    private static final int ALLOWED_FAILURES = 10;
    private static final int ALLOWED_SHARE = 50;
    private static final int OK = 200;
    private static final int UNAUTHORIZED = 401;

    private CutChecks() {}

    /** Callers of an instance that is cut off, and otherwise undisturbed, are served two thirds as often as the others. */
    static Stream<String> callersAreServed(History history) {
        Set<String> crashing = history.crashingCalls();
        return history.faults().stream()
                .filter(fault -> fault.kind().equals(Plan.Kind.INSTANCE_CUT.name()))
                .flatMap(cut -> unserved(history, crashing, cut));
    }

    private static Stream<String> unserved(History history, Set<String> crashing, Fault cut) {
        List<Call> counted = history.calls().stream()
                .filter(call ->
                        call.sentMillis() > cut.fromMillis() + Checks.CONTACT_MS && call.sentMillis() < cut.toMillis())
                .filter(call -> call.status() != UNAUTHORIZED && !crashing.contains(call.id()))
                .filter(call -> undisturbed(history, call))
                .toList();
        List<Call> there = counted.stream()
                .filter(call -> call.instance().equals(cut.target()))
                .toList();
        List<Call> others =
                counted.stream().filter(call -> !isCut(history, call)).toList();
        long failed = there.size() - served(there);
        boolean seldom =
                !others.isEmpty() && (double) served(there) / there.size() < MIN_RATIO * served(others) / others.size();
        return seldom && failed > ALLOWED_FAILURES + counted.size() / ALLOWED_SHARE
                ? Stream.of("served " + served(there) + " of " + there.size() + " in " + cut + ", the others "
                        + served(others) + " of " + others.size())
                : Stream.empty();
    }

    private static boolean undisturbed(History history, Call call) {
        return history.faults().stream()
                .filter(fault -> !fault.kind().equals(Plan.Kind.INSTANCE_CUT.name()))
                .filter(fault -> fault.target().isEmpty() || fault.target().equals(call.instance()))
                .noneMatch(fault -> fault.during(call.sentMillis() - Checks.CONTACT_MS, call.endMillis()));
    }

    private static boolean isCut(History history, Call call) {
        return history.faults().stream()
                .filter(fault -> fault.kind().equals(Plan.Kind.INSTANCE_CUT.name()))
                .filter(fault -> fault.target().equals(call.instance()))
                .anyMatch(fault -> fault.during(call.sentMillis(), call.endMillis()));
    }

    private static long served(List<Call> calls) {
        return calls.stream()
                .filter(call -> call.end() == End.WHOLE && call.status() == OK)
                .count();
    }
}
