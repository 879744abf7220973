package org.cuminspur.standin.users;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.IntStream;
import org.cuminspur.standin.FreePorts;

/**
 * One router process with stand-ins for the deployment platform; not thread-safe.
 *
 * <p>{@link #close} ends only the process that it started.
 */
public final class SingleRouterDeployment implements AutoCloseable {
    /** Path of a streaming route. */
    public static final String STREAM_PATH = "/chat/x";

    /** Path of a route whose requests must not be executed twice. */
    public static final String NON_IDEMPOTENT_PATH = "/book/x";

    /** Number of routes that get no requests, as many as the deployment has. */
    private static final int IDLE_ROUTES = 110;

    private static final long POLL_INTERVAL_MS = 2;
    private static final long START_TIMEOUT_MS = 20_000;
    private static final long STOP_TIMEOUT_SECONDS = 30;
    private static final long ROUTE_TIMEOUT_MS = 10_000;

    private final StandinStore store = new StandinStore();
    private final StandinServer engine;
    private final StandinServer plain = new StandinServer("plain", StandinServer.plainAnswer("done"));
    private final OperatorConfigBuilder config = new OperatorConfigBuilder()
            .service("model", true)
            .service("app", false)
            .route("/chat/", "stream", "model", 2, ROUTE_TIMEOUT_MS)
            .route("/book/", "non_idempotent", "app", 1, ROUTE_TIMEOUT_MS)
            .account("account", "key");
    private final int port = FreePorts.next();
    private final Path settings;
    private final List<String> command;
    private Process router;

    /** Prepares a router command with an engine that sends twenty events without delay. */
    public SingleRouterDeployment(List<String> command) {
        this(command, StandinServer.eventStream(20));
    }

    /** Prepares a router command with the given engine behaviour. */
    public SingleRouterDeployment(List<String> command, StandinServer.Behaviour engineBehaviour) {
        this.command = List.copyOf(command);
        engine = new StandinServer("engine", engineBehaviour);
        IntStream.range(0, IDLE_ROUTES)
                .forEach(number -> config.route("/idle-" + number + "/", "idempotent", "app", 2, ROUTE_TIMEOUT_MS));
        store.put("servers/engine", OperatorConfigBuilder.serverEntry("model", engine.port(), "a", "ready", 0));
        store.put("servers/plain", OperatorConfigBuilder.serverEntry("app", plain.port(), "a", "ready", 0));
        publishConfig();
        try {
            settings = Files.createTempFile("router", ".ini");
            Files.writeString(
                    settings,
                    InstanceSettings.text("router-1", "a", port, FreePorts.next(), FreePorts.next(), store.port()));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Publishes the next version of the configuration. */
    public void publishConfig() {
        store.put("op/config", config.nextVersion());
    }

    public void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .redirectError(ProcessBuilder.Redirect.DISCARD);
        builder.environment().put("CUMINSPUR_SETTINGS", settings.toString());
        router = builder.start();
    }

    /** Waits until a request is served and returns the time in milliseconds; throws after 20 s. */
    public long awaitServing() throws InterruptedException {
        long startNanos = System.nanoTime();
        while (!requestSucceeds(STREAM_PATH)) {
            long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            if (millis > START_TIMEOUT_MS) {
                throw new IllegalStateException("the router does not serve");
            }
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
        }
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    /** Sends a request on a new connection; returns whether the answer has status 200. */
    public boolean requestSucceeds(String path) {
        String head = "POST " + path + " HTTP/1.1\r\nHost: " + OperatorConfigBuilder.HOST
                + "\r\nAttempt-Id: 1\r\nX-Api-Key: key\r\nDeadline-Ms: 9000\r\nPrompt-Prefix: a1:10,b2:10\r\n"
                + "Token-Usage: 20,20\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}";
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            return answer.contains(" 200 ");
        } catch (IOException e) {
            // The router does not listen yet, or no longer.
            return false;
        }
    }

    /** Runs {@code count} streams concurrently to their ends; returns the number that were served. */
    public long streams(int count) throws InterruptedException {
        LongAdder served = new LongAdder();
        CountDownLatch ended = new CountDownLatch(count);
        IntStream.range(0, count)
                .forEach(number -> new Thread(() -> {
                            served.add(requestSucceeds(STREAM_PATH) ? 1 : 0);
                            ended.countDown();
                        })
                        .start());
        ended.await();
        return served.sum();
    }

    /** Returns the router's resident memory, in kilobytes. */
    public long residentKilobytes() throws IOException {
        return Files.readAllLines(Path.of("/proc", Long.toString(router.pid()), "status")).stream()
                .filter(line -> line.startsWith("VmRSS:"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")))
                .findFirst()
                .orElseThrow();
    }

    /** Returns the CPU time that the router has used, in milliseconds. */
    public long cpuMillis() {
        return router.info().totalCpuDuration().orElseThrow().toMillis();
    }

    /** Stops the router with SIGTERM, as the platform does, and waits up to 30 s for its end. */
    public void stop() throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-TERM", Long.toString(router.pid())).start().waitFor();
        router.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    @Override
    public void close() {
        if (router != null) {
            router.destroyForcibly();
        }
        engine.close();
        plain.close();
        store.close();
        try {
            Files.deleteIfExists(settings);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
