package org.cuminspur.soak;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.cuminspur.http.LogSetup;
import org.cuminspur.soak.internal.Round;

/**
 * The command {@code bin/soak}: soaks a fleet of real processes, seed after seed, and prints a line for each.
 *
 * <p>Exits with 1 if a promise was broken in any round. Ends only processes that it started.
 */
public final class Soak {
    private static final int BROKEN = 1;
    private static final int USAGE = 2;

    @Parameter(names = "--seed", description = "first seed")
    private long seed = 1;

    @Parameter(names = "--rounds", description = "seeds to play, one after the other")
    private int rounds = 1;

    @Parameter(names = "--seconds", description = "length of a round")
    private int seconds = 60;

    @Parameter(names = "--instances", description = "processes of the fleet")
    private int instances = 4;

    @Parameter(names = "--callers", description = "callers that send at the same time")
    private int callers = 24;

    @Parameter(names = "--folder", description = "where logs and findings are kept")
    private String folder = "target/soak";

    @Parameter(names = "--help", description = "print this text", help = true)
    private boolean help;

    @Parameter(description = "command that starts an instance")
    private List<String> command = new ArrayList<>();

    private Soak() {}

    /** Runs the command. */
    public static void main(String[] args) {
        LogSetup.useLogbackFile("standin-logback.xml");
        Soak soak = new Soak();
        JCommander commander =
                JCommander.newBuilder().programName("soak").addObject(soak).build();
        try {
            commander.parse(args);
        } catch (ParameterException e) {
            System.err.println(e.getMessage());
            System.exit(USAGE);
        }
        if (soak.help || soak.command.isEmpty()) {
            commander.usage();
            System.exit(soak.help ? 0 : USAGE);
        }
        Round.endInstancesAtExit();
        System.exit(soak.play() ? 0 : BROKEN);
    }

    /** Plays all rounds; returns whether every promise was kept. */
    private boolean play() {
        System.out.println("seed\tsteps\trequests\tserved\tbroken");
        boolean kept = true;
        for (long next = seed; next < seed + rounds; next++) {
            Round.Result result = new Round(
                            next,
                            TimeUnit.SECONDS.toMillis(seconds),
                            instances,
                            callers,
                            command,
                            Path.of(folder, "seed-" + next))
                    .run();
            System.out.println(result.seed() + "\t" + result.steps() + "\t" + result.calls() + "\t" + result.served()
                    + "\t" + result.violations().size());
            result.violations().stream().limit(5).forEach(found -> System.out.println("  " + found));
            kept &= result.violations().isEmpty();
        }
        return kept;
    }
}
