package org.cuminspur.benchmarks.speed;

import java.io.IOException;
import java.util.List;
import org.cuminspur.http.LogSetup;
import org.cuminspur.standin.users.SingleRouterDeployment;
import org.cuminspur.standin.users.StandinServer;

/**
 * Measures what streams in progress cost an instance on the users' platform: processor time an event, and memory.
 *
 * <p>Takes the instance's command; prints tab-separated lines: measure, streams, value, unit.
 */
public final class InstanceStreamCost {
    private static final int EVENTS = 100;
    private static final long GAP_MS = 42;

    /** Rounds of streams before the measurement, in which the code is compiled. */
    private static final int WARM_UP = 2;

    private InstanceStreamCost() {}

    /** Runs the measurement. */
    public static void main(String[] command) throws IOException, InterruptedException {
        LogSetup.useLogbackFile("standin-logback.xml");
        try (SingleRouterDeployment trial =
                new SingleRouterDeployment(List.of(command), StandinServer.pacedEventStream(EVENTS, GAP_MS))) {
            trial.start();
            trial.awaitServing();
            for (int round = 0; round < WARM_UP; round++) {
                trial.streams(40);
            }
            for (int count : List.of(10, 40, 100, 170)) {
                long before = trial.cpuMillis();
                long served = trial.streams(count);
                double micros = (trial.cpuMillis() - before) * 1_000.0 / (served * EVENTS);
                System.out.printf("processor time an event\t%d\t%.1f\tus%n", count, micros);
                System.out.printf("resident memory\t%d\t%.1f\tMB%n", count, trial.residentKilobytes() / 1_024.0);
                System.out.printf("streams served\t%d\t%d\tstreams%n", count, served);
            }
        }
        System.exit(0);
    }
}
