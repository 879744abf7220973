package org.cuminspur.benchmarks.trace;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.Collectors;

/**
 * Writes the file of chat templates that the replay reads; its one argument is the path.
 *
 * <p>Used by one thread. The seed is fixed, so the file can be made again.
 */
public final class TraceGenerator {
    private static final long SEED = 20_261_203;
    private static final int TEMPLATES = 1_200;
    private static final int ACCOUNTS = 10;
    private static final double POPULAR_SHARE = 0.01;
    private static final int POPULAR_SHARING = 40;
    private static final double LATE_RETURN_SHARE = 0.15;
    private static final double MEDIAN_PAUSE_MS = 45_000;
    private static final double MEDIAN_LATE_PAUSE_MS = 2 * 3_600_000;
    private static final int MAX_TURNS = 12;
    private static final int MAX_PROMPT_TOKENS = 60_000;
    private static final int MAX_ANSWER_TOKENS = 1_500;

    private final RandomGenerator random =
            RandomGeneratorFactory.of("L64X128MixRandom").create(SEED);

    private TraceGenerator() {}

    /** Writes the file. */
    public static void main(String[] args) throws IOException {
        TraceGenerator generator = new TraceGenerator();
        List<String> lines = new ArrayList<>();
        for (int i = 0; i < TEMPLATES; i++) {
            lines.add(generator.chat());
        }
        Files.write(Path.of(args[0]), lines);
    }

    private String chat() {
        String account = "account-" + (int) (ACCOUNTS * Math.pow(random.nextDouble(), 3));
        int sharing = random.nextDouble() < POPULAR_SHARE ? POPULAR_SHARING : 1;
        int turns = 1 + Math.min(MAX_TURNS - 1, (int) (-Math.log(1 - random.nextDouble()) * 4));
        double offset = 0;
        int prompt = bounded(logNormal(1_200, 1.1), MAX_PROMPT_TOKENS);
        List<String> parts = new ArrayList<>();
        for (int turn = 0; turn < turns; turn++) {
            int answer = bounded(logNormal(150, 0.8), MAX_ANSWER_TOKENS);
            parts.add((long) offset + ":" + prompt + ":" + answer);
            prompt = Math.min(MAX_PROMPT_TOKENS, prompt + answer + bounded(logNormal(120, 1.2), 20_000));
            boolean late = random.nextDouble() < LATE_RETURN_SHARE;
            offset += 15_000 + logNormal(late ? MEDIAN_LATE_PAUSE_MS : MEDIAN_PAUSE_MS, 0.7);
        }
        return account + "\t" + sharing + "\t" + parts.stream().collect(Collectors.joining(" "));
    }

    private double logNormal(double median, double sigma) {
        return median * Math.exp(sigma * random.nextGaussian());
    }

    private static int bounded(double value, int most) {
        return (int) Math.max(1, Math.min(most, value));
    }
}
