package org.cuminspur.benchmarks;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.cuminspur.benchmarks.replay.ReplayMeasure;

/**
 * Runs all measures and prints them as a tab-separated table; the arguments, all optional, are
 * a file that gets a copy or {@code -}, a prefix of scenario names, and a prefix of policy names.
 */
public final class Measure {
    private static final String HEADER = "measure\tscenario\tpolicy\trouters\tupstreams\tvalue\tunit";

    private Measure() {}

    /** Runs the measures. */
    public static void main(String[] args) throws IOException {
        List<String> rows = ReplayMeasure.rows(args.length > 1 ? args[1] : "", args.length > 2 ? args[2] : "");
        System.out.println(HEADER);
        rows.forEach(System.out::println);
        if (args.length > 0 && !args[0].equals("-")) {
            Files.writeString(Path.of(args[0]), HEADER + "\n" + String.join("\n", rows) + "\n");
        }
    }
}
