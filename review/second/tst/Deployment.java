import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.cuminspur.standin.FreePorts;
import org.cuminspur.standin.users.InstanceSettings;
import org.cuminspur.standin.users.StandinCaller;
import org.cuminspur.standin.users.StandinStore;

/**
 * Routers as separate processes, started with the command of the deploy file, with a store and a record of what happened;
 * thread-safe.
 */
final class Deployment implements AutoCloseable {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    private static final long LONGEST_RUN_MS = 110_000;
    private static final long START_TIMEOUT_MS = 20_000;

    /** The bounds `drain_ms` and `config_ms` of small deployments. */
    private static final long CHANGE_MS = 2_000;

    /** Runs a case and returns its exit code. */
    @FunctionalInterface
    interface Case {
        int run(Deployment deployment) throws Exception;
    }

    /** A router process; immutable. */
    record Router(Process process, int port, int readinessPort, Path log) {}

    final StandinStore store = new StandinStore();
    private final List<Router> routers = new ArrayList<>();
    private final PrintWriter record;
    private final Path temporary;
    private final long startNanos = System.nanoTime();

    private Deployment(Path folder) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")));
        temporary = Files.createTempDirectory("review");
    }

    /** Runs a case, ends all its processes and exits. */
    static void main(String[] arguments, Case body) throws IOException {
        Deployment deployment = new Deployment(Path.of(arguments[0]));
        Runtime.getRuntime().addShutdownHook(new Thread(deployment::close));
        Thread watchdog = new Thread(() -> {
            sleep(LONGEST_RUN_MS);
            Runtime.getRuntime().exit(NOT_RUN);
        });
        watchdog.setDaemon(true);
        watchdog.start();
        int result = NOT_RUN;
        try {
            deployment.log("TROUBLE=" + (trouble() ? 1 : 0));
            result = body.run(deployment);
        } catch (Exception e) {
            deployment.log("the case could not run: " + e);
        }
        deployment.log("exit code " + result);
        System.exit(result);
    }

    /** Returns whether the run has its disruption. */
    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    /** Returns the time since the start of the case. */
    long millis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    synchronized void log(String line) {
        String text = String.format("%8.3f %s", millis() / 1000.0, line);
        record.println(text);
        record.flush();
        System.out.println(text);
    }

    /** Writes a line to the record alone. */
    synchronized void note(String line) {
        record.println(String.format("%8.3f %s", millis() / 1000.0, line));
    }

    /** Starts a router with the bounds of a small deployment and waits until it is ready. */
    Router startRouter(String name, String domain) throws IOException {
        return startRouter(name, domain, CHANGE_MS);
    }

    /**
     * Starts a router and waits until it is ready.
     *
     * @param changeMillis bound on the time until a change takes effect
     */
    Router startRouter(String name, String domain, long changeMillis) throws IOException {
        return startRouter(name, domain, changeMillis, store.port());
    }

    /**
     * Starts a router that reaches the store at a port of its own and waits until it is ready.
     *
     * @param changeMillis bound on the time until a change takes effect
     */
    Router startRouter(String name, String domain, long changeMillis, int storePort) throws IOException {
        int port = FreePorts.next();
        int readinessPort = FreePorts.next();
        Path settings = temporary.resolve(name + ".ini");
        Files.writeString(
                settings,
                InstanceSettings.text(
                                name, domain, port, readinessPort, FreePorts.next(), FreePorts.next(), storePort)
                        + "leave = " + changeMillis + "ms\npublish = " + changeMillis + "ms\n");
        Path log = temporary.resolve(name + ".log");
        ProcessBuilder builder = new ProcessBuilder(command())
                .redirectErrorStream(true)
                .redirectOutput(log.toFile());
        builder.environment().put("CUMINSPUR_SETTINGS", settings.toString());
        Router router = new Router(builder.start(), port, readinessPort, log);
        synchronized (this) {
            routers.add(router);
        }
        long end = millis() + START_TIMEOUT_MS;
        while (!ready(router)) {
            if (millis() > end || !router.process().isAlive()) {
                throw new IOException(name + " did not become ready");
            }
            sleep(20);
        }
        log(name + " is ready");
        return router;
    }

    /** Returns the words of the start command of the deploy file. */
    private static List<String> command() throws IOException {
        return Files.readAllLines(Path.of("deploy/system.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .map(line -> List.of(line.substring("run = \"".length(), line.length() - 1).split(" ")))
                .findFirst()
                .orElseThrow();
    }

    /** Returns whether a router answers the balancer's question with 200 within a second. */
    static boolean ready(Router router) {
        try (StandinCaller balancer = new StandinCaller(router.readinessPort(), 1_000)) {
            balancer.send("GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n");
            return balancer.readAnswer().status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    static void sleep(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Runs a task on a thread of its own. */
    static Thread start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    @Override
    public synchronized void close() {
        routers.forEach(router -> router.process().destroyForcibly());
        record.flush();
        try (var files = Files.list(temporary)) {
            for (Path file : files.toList()) {
                Files.deleteIfExists(file);
            }
            Files.deleteIfExists(temporary);
        } catch (IOException e) {
            System.err.println("temporary files remain: " + e);
        }
    }
}
