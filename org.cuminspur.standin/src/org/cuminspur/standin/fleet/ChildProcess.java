package org.cuminspur.standin.fleet;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * A Java process that was started here, with the lines it has printed; thread-safe.
 *
 * <p>Waiting for a line takes no longer than the line takes to come, up to a bound.
 */
public final class ChildProcess implements AutoCloseable {
    private static final long WAIT_TIMEOUT_MS = 30_000;
    private static final Pattern SPACES = Pattern.compile(" ");

    private final String name;
    private final Process process;
    private final List<String> lines = new ArrayList<>();

    private ChildProcess(String name, Process process) {
        this.name = name;
        this.process = process;
    }

    /** Starts a main class on this process's class path, with a bounded heap. */
    public static ChildProcess start(String name, String mainClass, String... arguments) {
        List<String> command = new ArrayList<>(List.of(
                System.getProperty("java.home") + "/bin/java",
                "-Xmx256m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                mainClass));
        command.addAll(List.of(arguments));
        try {
            Process process =
                    new ProcessBuilder(command).redirectErrorStream(true).start();
            ChildProcess child = new ChildProcess(name, process);
            Thread reader = new Thread(child::read, "output-of-" + name);
            reader.setDaemon(true);
            reader.start();
            return child;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the name given at the start. */
    public String name() {
        return name;
    }

    /** Returns the process's id. */
    public long pid() {
        return process.pid();
    }

    /** Returns the ports in the line that the process prints once it listens. */
    public Map<String, Integer> ports() {
        String line = awaitLine(text -> text.startsWith("listening "));
        return SPACES.splitAsStream(line)
                .filter(word -> word.contains("="))
                .map(word -> word.split("=", 2))
                .collect(Collectors.toMap(pair -> pair[0], pair -> Integer.parseInt(pair[1])));
    }

    /** Waits for a line and returns it. */
    public String awaitLine(Predicate<String> wanted) {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_TIMEOUT_MS);
        synchronized (lines) {
            while (true) {
                for (String line : lines) {
                    if (wanted.test(line)) {
                        return line;
                    }
                }
                waitForLines(deadline);
            }
        }
    }

    /** Returns all lines so far. */
    public List<String> lines() {
        synchronized (lines) {
            return List.copyOf(lines);
        }
    }

    /** Asks the process to stop, as the platform does at a planned stop; what it still prints is read. */
    public void terminate() {
        signal("-TERM");
    }

    /** Ends the process at once. */
    public void kill() {
        process.destroyForcibly();
        awaitEnd();
    }

    /** Stops the process from running until {@link #resume}. */
    public void freeze() {
        signal("-STOP");
    }

    /** Lets a frozen process run on. */
    public void resume() {
        signal("-CONT");
    }

    /** Waits for the process to end and returns its exit code. */
    public int awaitEnd() {
        try {
            if (!process.waitFor(WAIT_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
                throw new IllegalStateException(name + " did not end");
            }
            return process.exitValue();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    /** Returns whether the process runs. */
    public boolean isAlive() {
        return process.isAlive();
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }

    private void read() {
        try (BufferedReader reader = process.inputReader(StandardCharsets.UTF_8)) {
            Stream<String> read = reader.lines();
            read.forEach(this::add);
        } catch (IOException | UncheckedIOException e) {
            add("output ended: " + e.getMessage());
        }
    }

    private void add(String line) {
        synchronized (lines) {
            lines.add(line);
            lines.notifyAll();
        }
    }

    private void waitForLines(long deadlineNanos) {
        long left = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
        if (left <= 0 || !process.isAlive()) {
            throw new IllegalStateException(
                    "no such line from " + name + ", which printed:\n" + String.join("\n", lines));
        }
        try {
            lines.wait(Math.min(left, 200));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    private void signal(String signal) {
        try {
            new ProcessBuilder("kill", signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }
}
