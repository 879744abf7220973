package org.cuminspur.standin.users;

import java.io.IOException;
import java.util.List;
import java.util.stream.IntStream;
import org.cuminspur.http.LogSetup;

/**
 * Training run for the router's class-data archive: runs the router's command briefly against stand-ins, so that it
 * loads the classes to archive. Exits with 1 if the router did not serve.
 */
public final class ClassArchiveTraining {
    private static final int REQUESTS = 40;
    private static final int FAILED = 1;

    private ClassArchiveTraining() {}

    /** Runs the router with the given command. */
    public static void main(String[] command) throws IOException, InterruptedException {
        LogSetup.useLogbackFile("standin-logback.xml");
        boolean served;
        try (SingleRouterDeployment trial = new SingleRouterDeployment(List.of(command))) {
            trial.start();
            trial.awaitServing();
            trial.publishConfig();
            served = IntStream.range(0, REQUESTS)
                    .allMatch(number -> trial.requestSucceeds(
                            number % 2 == 0
                                    ? SingleRouterDeployment.STREAM_PATH
                                    : SingleRouterDeployment.NON_IDEMPOTENT_PATH));
            trial.stop();
        }
        System.exit(served ? 0 : FAILED);
    }
}
