package org.cuminspur.soak.internal;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.cuminspur.soak.internal.History.Call;
import org.cuminspur.soak.internal.History.End;
import org.cuminspur.soak.internal.History.Run;
import org.cuminspur.soak.internal.History.Withdrawal;
import org.cuminspur.soak.internal.History.Withdraws;

/** The promises on what upstreams say in their answers; stateless and thread-safe. */
final class WithdrawalChecks {
    /** Time after an answer in which requests that crossed it may arrive. */
    static final long CROSSING_MS = 500;

    /** Requests that may reach an upstream while it wants none. */
    static final int MAX_IN_PAUSE = 2;

    private static final int OK = 200;

    private WithdrawalChecks() {}

    /** An upstream gets nothing from a start of an instance that passed on an answer which says that it leaves. */
    static Stream<String> leavingGetsNothing(History history) {
        Map<String, Call> calls = history.callsById();
        return withdrawals(history, Withdraws.LEAVES)
                .flatMap(said -> Optional.ofNullable(calls.get(said.call()))
                        .filter(call -> call.end() == End.WHOLE && call.status() == OK)
                        .stream()
                        .flatMap(call -> history.runs().stream()
                                .filter(run -> run.upstream().equals(said.upstream()))
                                .filter(run -> sameStart(call, calls.get(run.id())))
                                .filter(run -> calls.get(run.id()).sentMillis() > call.endMillis() + Checks.LEAVE_MS)
                                .filter(run ->
                                        !Checks.disturbed(history, call.instance(), call.endMillis(), run.atMillis()))
                                .map(run -> "after " + said + ": " + run)));
    }

    /** An upstream that turned a request away gets few from that instance for as long as it wants none. */
    static Stream<String> pauseIsKept(History history) {
        Map<String, Call> calls = history.callsById();
        return withdrawals(history, Withdraws.TURNS_AWAY)
                .flatMap(said -> Optional.ofNullable(calls.get(said.call()))
                        .filter(call ->
                                !Checks.disturbed(history, call.instance(), said.atMillis(), said.untilMillis()))
                        .filter(call ->
                                !Checks.disturbed(history, said.upstream(), said.atMillis(), said.untilMillis()))
                        .stream()
                        .flatMap(call -> {
                            List<String> arrived = arrivals(history, said)
                                    .filter(id -> calls.containsKey(id)
                                            && calls.get(id).instance().equals(call.instance()))
                                    .toList();
                            return arrived.size() > MAX_IN_PAUSE
                                    ? Stream.of("after " + said + " at " + call.instance() + ": " + arrived)
                                    : Stream.empty();
                        }));
    }

    /** Returns the requests that reach an upstream while it wants none, whether it runs them or not. */
    private static Stream<String> arrivals(History history, Withdrawal said) {
        return Stream.concat(
                history.runs().stream()
                        .filter(run -> run.upstream().equals(said.upstream()) && within(said, run.atMillis()))
                        .map(Run::id),
                withdrawals(history, Withdraws.TURNS_AWAY)
                        .filter(other -> other.upstream().equals(said.upstream()) && within(said, other.atMillis()))
                        .map(Withdrawal::call));
    }

    private static boolean within(Withdrawal said, long atMillis) {
        return atMillis > said.atMillis() + CROSSING_MS && atMillis < said.untilMillis();
    }

    private static boolean sameStart(Call call, Call other) {
        return other != null && other.instance().equals(call.instance()) && other.start() == call.start();
    }

    private static Stream<Withdrawal> withdrawals(History history, Withdraws kind) {
        return history.withdrawals().stream().filter(said -> said.kind() == kind);
    }
}
