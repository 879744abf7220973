package org.cuminspur.benchmarks.replay;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.cuminspur.benchmarks.trace.ChatTemplate;
import org.cuminspur.benchmarks.trace.Trace;

/** Replays every scenario under every policy and tells cache reuse, load skew and service; stateless. */
public final class ReplayMeasure {
    private static final int THREADS = 3;
    private static final double IN_TIME_TARGET = 0.99;

    private record Run(Scenario scenario, String policy, Result result) {}

    private ReplayMeasure() {}

    /** Returns the rows of the table for scenarios and policies whose names start with prefixes; slow ones only if named. */
    public static List<String> rows(String scenarios, String policies) {
        List<ChatTemplate> templates = Trace.templates();
        ExecutorService threads = Executors.newFixedThreadPool(THREADS);
        try {
            List<Future<Run>> runs = new ArrayList<>();
            for (Scenario scenario : Scenarios.all()) {
                Scenarios.policies(scenario).stream()
                        .filter(policy -> scenario.name().startsWith(scenarios))
                        .filter(policy -> !scenario.slow() || !scenarios.isEmpty())
                        .filter(policy -> policy.startsWith(policies) || policy.equals(Policies.ALL_KNOWING))
                        .forEach(policy -> runs.add(threads.submit(() -> run(scenario, policy, templates))));
            }
            return rows(runs);
        } finally {
            threads.shutdownNow();
        }
    }

    private static Run run(Scenario scenario, String policy, List<ChatTemplate> templates) {
        return new Run(scenario, policy, new Replay(scenario, policy, templates).run());
    }

    private static List<String> rows(List<Future<Run>> runs) {
        List<String> rows = new ArrayList<>();
        Map<String, Double> possible = new TreeMap<>();
        try {
            for (Future<Run> future : runs) {
                Run run = future.get();
                if (run.policy().equals(Policies.ALL_KNOWING)) {
                    possible.put(run.scenario().name(), (double) run.result().cachedTokens);
                }
                rows.addAll(rows(run, possible.get(run.scenario().name())));
            }
        } catch (InterruptedException | ExecutionException e) {
            throw new IllegalStateException(e);
        }
        return rows;
    }

    private static List<String> rows(Run run, Double possible) {
        Result result = run.result();
        Scenario scenario = run.scenario();
        List<String> rows = new ArrayList<>();
        if (possible != null) {
            rows.add(row("reuse", run, result.cachedTokens / possible, "share"));
        }
        if (scenario.fault() != Scenario.Fault.PLANNED_MOVE && scenario.fault() != Scenario.Fault.UNANNOUNCED_LOSS) {
            rows.add(row("skew-p99", run, result.skewP99(), "x-mean"));
            rows.add(row("skew-worst", run, result.skewWorst(), "x-mean"));
        }
        long from = ReplayFaults.leaveMillis(scenario);
        long until = scenario.seconds() * 1_000L - 5_000;
        rows.add(row("lowest-second", run, result.lowestSecond(from, until), "share-in-time"));
        rows.add(row("seconds-below-99", run, result.secondsBelow(IN_TIME_TARGET, from, until), "s"));
        long back = ReplayFaults.returnMillis(scenario);
        if (scenario.fault() == Scenario.Fault.PLANNED_MOVE || scenario.fault() == Scenario.Fault.UNANNOUNCED_LOSS) {
            rows.add(row("recovery-after-leave", run, result.recoverySeconds(IN_TIME_TARGET, from, back), "s"));
            rows.add(row("recovery-after-return", run, result.recoverySeconds(IN_TIME_TARGET, back, until), "s"));
        }
        rows.add(row("refused", run, result.refused, "requests"));
        rows.add(row("cut", run, result.cut, "requests"));
        rows.add(row("cold-overload", run, result.coldOver, "requests"));
        return rows;
    }

    private static String row(String measure, Run run, double value, String unit) {
        return String.join(
                "\t",
                measure,
                run.scenario().name(),
                run.policy(),
                Integer.toString(run.scenario().routers()),
                Integer.toString(run.scenario().upstreams()),
                String.format(Locale.ROOT, "%.4f", value),
                unit);
    }
}
