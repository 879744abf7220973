package org.cuminspur.soak.internal;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.cuminspur.soak.internal.History.Call;
import org.cuminspur.soak.internal.History.End;

/**
 * One soak of one seed: starts a fleet, disturbs it by the seed's plan while callers send, and checks what was seen.
 *
 * <p>Immutable. The plan repeats with the seed; the interleaving of processes does not, so a failed round keeps its logs.
 *
 * @param command starts an instance, by the settings file that its environment names
 * @param folder receives the logs of the instances and, if a promise was broken, what was seen
 */
public record Round(long seed, long millis, int instances, int callers, List<String> command, Path folder) {
    private static final long START_MS = 30_000;
    private static final long POLL_MS = 20;
    private static final int OK = 200;

    /** What a round came to; immutable. */
    public record Result(long seed, int steps, long calls, long served, List<String> violations) {}

    /** Ends the instances of all rounds when this process ends, also by a signal; no other starts after that. */
    public static void endInstancesAtExit() {
        Runtime.getRuntime().addShutdownHook(new Thread(RouterProcess::endAll, "end-instances"));
    }

    /** Runs the round; takes as long as the soak is to be, and some seconds. */
    public Result run() {
        try {
            Files.createDirectories(folder);
            History history = new History();
            SplittableRandom random = new SplittableRandom(seed);
            Plan plan = Plan.of(random.split(), millis).withRollouts(new SplittableRandom(~seed), millis);
            try (SoakFleet fleet = new SoakFleet(instances, List.of("north", "south"), command, folder, history)) {
                play(fleet, plan, history, random);
            }
            return result(plan, history);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }

    private void play(SoakFleet fleet, Plan plan, History history, SplittableRandom random)
            throws InterruptedException {
        awaitReady(fleet, history);
        List<SoakCaller> load = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < callers; i++) {
            load.add(new SoakCaller(
                    "call-" + i,
                    fleet.instances(),
                    fleet.operator(),
                    fleet.crashingPart(),
                    fleet.crashingRequest(),
                    history,
                    random.split()));
            threads.add(new Thread(load.get(i), "caller-" + i));
        }
        long began = history.now();
        threads.forEach(Thread::start);
        for (Plan.Step step : plan.steps()) {
            sleepUntil(history, began + step.atMillis());
            fleet.apply(step);
        }
        sleepUntil(history, began + millis);
        load.forEach(SoakCaller::stop);
        for (Thread thread : threads) {
            thread.join();
        }
    }

    private Result result(Plan plan, History history) throws IOException {
        List<String> violations = Checks.violations(history);
        if (!violations.isEmpty()) {
            Files.write(folder.resolve("violations.txt"), violations);
            Files.write(folder.resolve("seen.txt"), seen(plan, history).toList());
        }
        List<Call> calls = history.calls();
        long served = calls.stream()
                .filter(call -> call.end() == End.WHOLE && call.status() == OK)
                .count();
        return new Result(seed, plan.steps().size(), calls.size(), served, violations);
    }

    private static Stream<String> seen(Plan plan, History history) {
        return Stream.of(
                        plan.steps(),
                        history.faults(),
                        history.changes(),
                        history.calls(),
                        history.runs(),
                        history.crashes(),
                        history.rollouts())
                .flatMap(List::stream)
                .map(Object::toString);
    }

    private static void awaitReady(SoakFleet fleet, History history) throws InterruptedException {
        long until = history.now() + START_MS;
        while (!fleet.instances().stream().allMatch(RouterProcess::ready)) {
            if (history.now() > until) {
                throw new IllegalStateException("the instances do not become ready");
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
        }
    }

    private static void sleepUntil(History history, long at) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(Math.max(0, at - history.now()));
    }
}
