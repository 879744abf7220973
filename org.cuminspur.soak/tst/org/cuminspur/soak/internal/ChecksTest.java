package org.cuminspur.soak.internal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.cuminspur.soak.internal.History.Call;
import org.cuminspur.soak.internal.History.Change;
import org.cuminspur.soak.internal.History.Crash;
import org.cuminspur.soak.internal.History.End;
import org.cuminspur.soak.internal.History.Fault;
import org.cuminspur.soak.internal.History.Kind;
import org.cuminspur.soak.internal.History.Prompt;
import org.cuminspur.soak.internal.History.Resumption;
import org.cuminspur.soak.internal.History.Rollout;
import org.cuminspur.soak.internal.History.Run;
import org.cuminspur.soak.internal.History.Said;
import org.cuminspur.soak.internal.History.Serving;
import org.cuminspur.soak.internal.History.Withdrawal;
import org.cuminspur.soak.internal.History.Withdraws;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks that each checker of the soak reports a planted fault, and not what the platform's pages allow. */
public class ChecksTest {
    private static final String INSTANCE = "router-0";

    @DataProvider
    public Object[][] planted() {
        return Stream.of(answers(), crashes(), streams(), limits(), changes(), rollouts())
                .flatMap(Arrays::stream)
                .toArray(Object[][]::new);
    }

    private static Object[][] rollouts() {
        return new Object[][] {
            row("bad-version-bounded", seen -> {
                seen.add(new Rollout("r1", true, 1_000, 11_000, "reverted", 9_000));
                IntStream.range(0, 60).forEach(i -> seen.add(appRun("call-" + i, i % 2 == 0 ? "r1" : "v1", 2_000 + i)));
                IntStream.range(0, 60).forEach(i -> seen.add(call("call-" + i, Kind.LOOK, 1, 2_000, End.WHOLE, 200)));
            }),
            row("reverted-gets-nothing", seen -> {
                seen.add(new Rollout("r1", true, 1_000, 11_000, "reverted", 5_000));
                seen.add(call("1", Kind.LOOK, 1, 8_100, End.WHOLE, 200));
                seen.add(appRun("1", "r1", 8_110));
            }),
            row("completion-cuts-nothing", seen -> {
                seen.add(new Rollout("r1", false, 1_000, 11_000, "completed", 10_000));
                seen.add(new Call("1", Kind.LOOK, INSTANCE, 1, "key-1", 9_990, 10_010, End.CUT, 0, true));
                seen.add(appRun("1", "v1", 9_995));
            }),
            row("rollouts-end", seen -> seen.add(new Rollout("r1", false, 1_000, 11_000, "open", 26_000)))
        };
    }

    private static Run appRun(String id, String version, long atMillis) {
        return new Run(id, Kind.LOOK, "upstream", "north", Operator.ACCOUNT, atMillis, 1_000, false, version, id, 0);
    }

    private static Object[][] answers() {
        return new Object[][] {
            row("at-most-once", seen -> {
                seen.add(call("1", Kind.BOOK, 1, 100, End.WHOLE, 200));
                seen.add(run("1", Kind.BOOK, 110));
                seen.add(run("1", Kind.BOOK, 120));
            }),
            row("true-refusals", seen -> {
                seen.add(call("1", Kind.DRAFT, 1, 100, End.WHOLE, 503));
                seen.add(new Run(
                        "1", Kind.DRAFT, "upstream", "north", Operator.ACCOUNT, 110, 1_000, true, "v1", "1", 0));
            }),
            row("valid-statuses", seen -> {
                seen.add(new Call("1", Kind.LOOK, INSTANCE, 1, "key-1", 100, 200, End.WHOLE, 600, false));
            }),
            row("own-whole-answers", seen -> {
                seen.add(new Call("1", Kind.LOOK, INSTANCE, 1, "key-1", 100, 200, End.WHOLE, 200, false));
                seen.add(run("1", Kind.LOOK, 110));
            }),
            row("only-what-was-asked", seen -> seen.add(run("1", Kind.LOOK, 110))),
            row("ready-answers-delivered", seen -> {
                seen.add(call("1", Kind.LOOK, 1, 100, End.WHOLE, 502));
                seen.add(run("1", Kind.LOOK, 110));
            }),
            row("no-send-for-show", seen -> {
                seen.add(call("1", Kind.LOOK, 1, 100, End.WHOLE, 200));
                seen.add(new Run("1", Kind.LOOK, "upstream", "north", Operator.ACCOUNT, 110, 1, false, "v1", "1", 0));
            }),
            row("given-up-never-arrives", seen -> {
                seen.add(call("1", Kind.LOOK, 1, 100, End.TIMED_OUT, 0));
                seen.add(new Fault(Plan.Kind.INSTANCE_CUT.name(), INSTANCE, 50, 3_300));
                seen.add(run("1", Kind.LOOK, 6_300));
            }),
            row("planned-stop-cuts-nothing", seen -> {
                seen.add(new Fault(Plan.STOP, INSTANCE, 100, 8_100));
                seen.add(call("1", Kind.LOOK, 1, 200, End.CUT, 0));
                seen.add(run("1", Kind.LOOK, 210));
            }),
            row("recovery", seen -> {
                seen.add(new Fault("kill", INSTANCE, 100, 200));
                seen.add(call("1", Kind.LOOK, 1, 9_000, End.NOT_SENT, 0));
            })
        };
    }

    private static Object[][] crashes() {
        return new Object[][] {
            row("few-crashing-reach-upstreams", seen -> crashing(seen, CrashChecks.MAX_LATE_RUNS + 1)),
            row("few-crashing-reach-upstreams", seen -> {
                IntStream.range(0, CrashChecks.KNOWN_REQUEST_CRASHES)
                        .forEach(i -> seen.add(new Crash("fatal-1", "upstream-" + i, 1_000 + i)));
                lateRuns(seen, "fatal-1", CrashChecks.MAX_LATE_RUNS + 1);
            }),
            row("sound-begin-beside-crashing", seen -> {
                crashing(seen, 0);
                IntStream.range(0, CrashChecks.MIN_JUDGED).forEach(i -> {
                    sound(seen, "before-" + i, 100, true);
                    sound(seen, "meanwhile-" + i, 15_000, false);
                });
            })
        };
    }

    private static Object[][] streams() {
        return new Object[][] {
            row(
                    "streams-keep-version",
                    seen -> IntStream.rangeClosed(0, StreamChecks.MAX_MIXED).forEach(i -> {
                        seen.add(call("a" + i, Kind.CHAT, 1, 100, End.CUT, 200));
                        seen.add(run("a" + i, Kind.CHAT, 110));
                        seen.add(call("b" + i, Kind.CHAT, 1, 300, End.WHOLE, 200));
                        seen.add(new Run(
                                "b" + i,
                                Kind.CHAT,
                                "other",
                                "north",
                                Operator.ACCOUNT,
                                310,
                                1_000,
                                false,
                                "v2",
                                "a" + i,
                                3));
                    })),
            row("streams-go-on", seen -> {
                seen.add(new Serving("upstream", "v1", 0));
                seen.add(new Serving("other", "v1", 0));
                IntStream.range(0, StreamChecks.MIN_RESUMED).forEach(i -> {
                    seen.add(call("a" + i, Kind.CHAT, 1, 100, End.CUT, 200));
                    seen.add(run("a" + i, Kind.CHAT, 110));
                    seen.add(call("b" + i, Kind.CHAT, 1, 300, End.WHOLE, 503));
                    seen.add(new Resumption("b" + i, "a" + i, INSTANCE, 300));
                });
            })
        };
    }

    private static Object[][] limits() {
        return new Object[][] {
            row("leaving-in-answers-gets-nothing", seen -> {
                seen.add(call("1", Kind.LOOK, 1, 100, End.WHOLE, 200));
                seen.add(new Withdrawal(Withdraws.LEAVES, "upstream", "1", 110, Long.MAX_VALUE));
                seen.add(call("2", Kind.LOOK, 1, 2_200, End.WHOLE, 200));
                seen.add(run("2", Kind.LOOK, 2_210));
            }),
            row("pause-in-answers-is-kept", seen -> {
                seen.add(call("1", Kind.LOOK, 1, 100, End.WHOLE, 200));
                seen.add(new Withdrawal(Withdraws.TURNS_AWAY, "upstream", "1", 110, 2_110));
                IntStream.rangeClosed(0, WithdrawalChecks.MAX_IN_PAUSE).forEach(i -> {
                    seen.add(call("in-pause-" + i, Kind.LOOK, 1, 1_000 + i, End.WHOLE, 200));
                    seen.add(run("in-pause-" + i, Kind.LOOK, 1_010 + i));
                });
            }),
            row("named-limits", seen -> {
                seen.add(new Change(Said.LIMIT_NAMED, "upstream", 0));
                IntStream.rangeClosed(-1, LimitChecks.MAX_IN_WINDOW).forEach(i -> {
                    long at = i < 0 ? 100 : 4_000 + i;
                    seen.add(call("limited-" + i, Kind.LOOK, 1, at, End.WHOLE, 200));
                    seen.add(run("limited-" + i, Kind.LOOK, at));
                });
            })
        };
    }

    /** Adds five crashes, requests with the part that reach upstreams later, and one that does not. */
    private static void crashing(History seen, int lateRuns) {
        IntStream.range(0, CrashChecks.KNOWN_PART_CRASHES)
                .forEach(i -> seen.add(new Crash("bad1", "upstream-" + i, 1_000 + i)));
        lateRuns(seen, "bad1", lateRuns);
        seen.add(call("last", Kind.DRAFT, 1, 20_000, End.WHOLE, 503));
        seen.add(new Prompt("last", "1", "bad1", false));
    }

    private static void lateRuns(History seen, String cause, int count) {
        IntStream.range(0, count).forEach(i -> {
            seen.add(call("late-" + i, Kind.DRAFT, 1, 9_000, End.CUT, 0));
            seen.add(run("late-" + i, Kind.DRAFT, 9_010));
            seen.add(new Prompt("late-" + i, "1", cause, false));
        });
    }

    private static void sound(History seen, String id, long sentMillis, boolean begun) {
        seen.add(call(id, Kind.DRAFT, 1, sentMillis, End.WHOLE, begun ? 200 : 503));
        seen.add(new Prompt(id, "1", "", begun));
        if (begun) {
            seen.add(run(id, Kind.DRAFT, sentMillis + 10));
        }
    }

    private static Object[][] changes() {
        return new Object[][] {
            row("leaving-gets-nothing", seen -> {
                seen.add(new Change(Said.UPSTREAM_LEAVES, "upstream", 5_000));
                seen.add(call("1", Kind.LOOK, 1, 7_100, End.WHOLE, 200));
                seen.add(run("1", Kind.LOOK, 7_110));
            }),
            row("emptied-gets-nothing", seen -> {
                seen.add(new Change(Said.DOMAIN_EMPTIED, "north", 5_000));
                seen.add(call("1", Kind.LOOK, 1, 10_100, End.WHOLE, 200));
                seen.add(run("1", Kind.LOOK, 10_110));
            }),
            row("revoked-key", seen -> {
                seen.add(new Change(Said.KEY_REVOKED, "key-1", 5_000));
                seen.add(call("1", Kind.LOOK, 1, 10_001, End.CUT, 0));
                seen.add(run("1", Kind.LOOK, 10_110));
            }),
            row("no-rollback", seen -> {
                seen.add(new Call("1", Kind.LOOK, INSTANCE, 1, "key-3", 100, 200, End.WHOLE, 200, true));
                seen.add(call("2", Kind.LOOK, 1, 460, End.WHOLE, 200));
                seen.add(run("1", Kind.LOOK, 110));
                seen.add(run("2", Kind.LOOK, 470));
            }),
            row("cut-instances-serve", seen -> {
                seen.add(new Fault(Plan.Kind.INSTANCE_CUT.name(), INSTANCE, 1_000, 9_000));
                IntStream.range(0, 30).forEach(i -> {
                    seen.add(call("c" + i, Kind.LOOK, 1, 5_000 + i, End.WHOLE, 503));
                    seen.add(new Call(
                            "d" + i, Kind.LOOK, "router-1", 1, "key-1", 5_000 + i, 5_050, End.WHOLE, 200, true));
                    seen.add(run("d" + i, Kind.LOOK, 5_010 + i));
                });
            }),
            row("cold-rate", seen -> {
                seen.add(new Change(Said.UPSTREAM_STARTED, "upstream", 1_000));
                IntStream.range(0, 27).forEach(i -> {
                    seen.add(call("c" + i, Kind.LOOK, 1, 1_000, End.WHOLE, 200));
                    seen.add(run("c" + i, Kind.LOOK, 1_100 + 30 * i));
                });
            })
        };
    }

    @Test(dataProvider = "planted")
    public void aPlantedFaultIsReported(String promise, Consumer<History> plant) {
        History seen = new History();
        plant.accept(seen);
        assertEquals(Checks.violations(seen).size(), 1, Checks.violations(seen).toString());
        assertTrue(Checks.violations(seen).get(0).startsWith(promise + ": "));
    }

    @Test
    public void requestThatCrashesUpstreamsHasNoReadyAnswer() {
        History seen = new History();
        seen.add(call("1", Kind.DRAFT, 1, 100, End.WHOLE, 502));
        seen.add(run("1", Kind.DRAFT, 110));
        assertEquals(Checks.violations(seen).size(), 1, Checks.violations(seen).toString());
        seen.add(new Prompt("1", "1", "bad1", false));
        assertEquals(Checks.violations(seen).size(), 0, Checks.violations(seen).toString());
    }

    @Test
    public void everyPromiseHasAPlantedFault() {
        assertEquals(Arrays.stream(planted()).map(row -> row[0]).collect(Collectors.toSet()), Checks.ALL.keySet());
    }

    @Test
    public void whatHappensInADisturbanceIsAllowed() {
        History seen = new History();
        seen.add(new Fault("STORE_LINK_SILENT", INSTANCE, 6_000, 6_500));
        seen.add(new Change(Said.UPSTREAM_LEAVES, "upstream", 5_000));
        seen.add(call("1", Kind.LOOK, 1, 7_100, End.WHOLE, 200));
        seen.add(run("1", Kind.LOOK, 7_110));
        seen.add(new Fault("kill", INSTANCE, 7_000, 7_500));
        seen.add(call("2", Kind.LOOK, 1, 7_000, End.CUT, 0));
        assertEquals(Checks.violations(seen).size(), 0, Checks.violations(seen).toString());
    }

    private static Object[] row(String promise, Consumer<History> plant) {
        return new Object[] {promise, plant};
    }

    private static Call call(String id, Kind kind, int start, long sent, End end, int status) {
        return new Call(id, kind, INSTANCE, start, "key-1", sent, sent + 50, end, status, true);
    }

    private static Run run(String id, Kind kind, long at) {
        return new Run(id, kind, "upstream", "north", Operator.ACCOUNT, at, 1_000, false, "v1", id, 0);
    }
}
