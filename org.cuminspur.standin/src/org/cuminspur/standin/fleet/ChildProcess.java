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
 * A Java process started by this one, with the lines that it has printed; thread-safe.
 *
 * <p>Waits for a line return as soon as it is printed and fail after 30 s.
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

    /** Starts a main class with this process's class path and a bounded heap. */
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
            Thread reader = new Thread(child::readOutput, "output-of-" + name);
            reader.setDaemon(true);
            reader.start();
            return child;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    public String name() {
        return name;
    }

    public long pid() {
        return process.pid();
    }

    /** Waits until the process prints the ports that it listens on, and returns them by name. */
    public Map<String, Integer> ports() {
        String line = awaitLine(text -> text.startsWith("listening "));
        return SPACES.splitAsStream(line)
                .filter(word -> word.contains("="))
                .map(word -> word.split("=", 2))
                .collect(Collectors.toMap(pair -> pair[0], pair -> Integer.parseInt(pair[1])));
    }

    /** Waits for a matching line, printed lines included, and returns it. */
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

    /** Returns all lines printed so far. */
    public List<String> lines() {
        synchronized (lines) {
            return List.copyOf(lines);
        }
    }

    /** Sends SIGTERM, as the platform does for a planned stop; later output is still read. */
    public void terminate() {
        signal("-TERM");
    }

    /** Kills the process and waits for its end. */
    public void kill() {
        process.destroyForcibly();
        awaitEnd();
    }

    /** Suspends the process until {@link #resume}. */
    public void freeze() {
        signal("-STOP");
    }

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

    public boolean isAlive() {
        return process.isAlive();
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }

    private void readOutput() {
        try (BufferedReader reader = process.inputReader(StandardCharsets.UTF_8)) {
            Stream<String> read = reader.lines();
            read.forEach(this::addLine);
        } catch (IOException | UncheckedIOException e) {
            addLine("output ended: " + e.getMessage());
        }
    }

    private void addLine(String line) {
        synchronized (lines) {
            lines.add(line);
            lines.notifyAll();
        }
    }

    private void waitForLines(long deadlineNanos) {
        long remainingMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
        if (remainingMillis <= 0 || !process.isAlive()) {
            throw new IllegalStateException(
                    "no matching line from " + name + ", which printed:\n" + String.join("\n", lines));
        }
        try {
            lines.wait(Math.min(remainingMillis, 200));
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
