package org.cuminspur.platform;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.cuminspur.standin.FreePorts;
import org.cuminspur.standin.users.InstanceSettings;
import org.cuminspur.standin.users.StandinCaller;

/** An instance in a process of its own, as it is deployed; used by one thread. Closing it kills the process. */
final class RouterProcess implements AutoCloseable {
    private static final long EXIT_TIMEOUT_SECONDS = 20;
    private static final int HEAP_MEGABYTES = 120;
    private static final int READY_TIMEOUT_MS = 1_000;
    private static final int OK = 200;

    private final int port = FreePorts.next();
    private final int readinessPort = FreePorts.next();
    private final Path settings;
    private final Path log;
    private final Process process;

    /** Starts an instance that sees the store at a port, and waits until it is ready. */
    RouterProcess(String name, int storePort) {
        this(name, storePort, HEAP_MEGABYTES);
    }

    /** Starts an instance with a heap of a size, and waits until it is ready. */
    RouterProcess(String name, int storePort, int heapMegabytes) {
        try {
            settings = Files.createTempFile("router", ".ini");
            log = Files.createTempFile("router", ".log");
            Files.writeString(
                    settings, InstanceSettings.text(name, "a", port, readinessPort, FreePorts.next(), storePort));
            ProcessBuilder builder = new ProcessBuilder(List.of(
                            System.getProperty("java.home") + "/bin/java",
                            "-Xmx" + heapMegabytes + "m",
                            "-XX:+UseSerialGC",
                            "-XX:TieredStopAtLevel=1",
                            "-cp",
                            System.getProperty("java.class.path"),
                            Main.class.getName()))
                    .redirectErrorStream(true)
                    .redirectOutput(log.toFile());
            builder.environment().put("CUMINSPUR_SETTINGS", settings.toString());
            process = builder.start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        Deployment.await(name + " is ready", this::ready);
    }

    int port() {
        return port;
    }

    /** Returns what it has logged so far. */
    String logged() {
        try {
            return Files.readString(log);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Sends SIGTERM, as the platform does for a planned stop. */
    void terminate() {
        process.destroy();
    }

    /** Kills the process and waits for its end. */
    void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Waits for the end of the process; returns whether it has ended. */
    boolean awaitEnd() throws InterruptedException {
        return process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    @Override
    public void close() {
        process.destroyForcibly();
        try {
            Files.deleteIfExists(settings);
            Files.deleteIfExists(log);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private boolean ready() {
        try (StandinCaller balancer = new StandinCaller(readinessPort, READY_TIMEOUT_MS)) {
            balancer.send("GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n");
            return balancer.readAnswer().status() == OK;
        } catch (IOException e) {
            // The process does not listen yet.
            return false;
        }
    }
}
