package org.cuminspur.benchmarks.speed;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import org.cuminspur.http.LogSetup;
import org.cuminspur.standin.users.SingleRouterDeployment;

/**
 * Measures how long an instance on the users' platform takes from its start to its first answer.
 *
 * <p>Takes the instance's command; prints tab-separated lines: measure, run, value, unit.
 */
public final class StartCost {
    private static final int RUNS = 7;

    private StartCost() {}

    /** Runs the measurement. */
    public static void main(String[] command) throws IOException, InterruptedException {
        LogSetup.useLogbackFile("standin-logback.xml");
        long[] processor = new long[RUNS];
        for (int run = 0; run < RUNS; run++) {
            try (SingleRouterDeployment trial = new SingleRouterDeployment(List.of(command))) {
                trial.start();
                System.out.println("first-answer\t" + run + "\t" + trial.awaitServing() + "\tms");
                processor[run] = trial.cpuMillis();
            }
        }
        Arrays.sort(processor);
        System.out.println("processor\tmedian\t" + processor[RUNS / 2] + "\tms");
        System.exit(0);
    }
}
