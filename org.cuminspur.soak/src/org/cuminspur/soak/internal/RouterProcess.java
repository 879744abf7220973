package org.cuminspur.soak.internal;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.cuminspur.standin.users.InstanceSettings;
import org.cuminspur.standin.users.StandinCaller;
import org.cuminspur.standin.users.StandinStore;
import org.cuminspur.standin.users.UpstreamLinks;

/**
 * An instance as a process of its own, which is started again whenever it ends, as the platform does; thread-safe.
 *
 * <p>Signals go only to the process that was started here.
 */
final class RouterProcess implements AutoCloseable {
    private static final long RESTART_MS = 300;
    private static final int PROBE_TIMEOUT_MS = 400;
    private static final long GRACE_SECONDS = 10;
    private static final int OK = 200;

    /** Ports below those that the system gives to client connections. */
    private static final int FIRST_PORT = 20_000;

    private static final int LAST_PORT = 30_000;
    private static final AtomicInteger NEXT_PORT =
            new AtomicInteger(FIRST_PORT + (int) (ProcessHandle.current().pid() % (LAST_PORT - FIRST_PORT)));

    /** The processes that run now, to be ended with this one. */
    private static final Set<Process> RUNNING = ConcurrentHashMap.newKeySet();

    private static volatile boolean ending;

    private final String name;
    private final String domain;
    private final List<String> command;
    private final Path folder;
    private final int callersPort = freePort();
    private final int readinessPort = freePort();
    private final FaultProxy storeLink;
    private final FaultProxy callersLink;
    private final UpstreamLinks upstreamLinks = new UpstreamLinks();
    private final Path settings;
    private volatile Process process;
    private volatile int starts;
    private volatile boolean ready;
    private volatile boolean closed;

    RouterProcess(String name, String domain, List<String> command, StandinStore store, Path folder)
            throws IOException {
        this.name = name;
        this.domain = domain;
        this.command = command;
        this.folder = folder;
        storeLink = new FaultProxy(store.openView(upstreamLinks::view));
        callersLink = new FaultProxy(callersPort);
        settings = folder.resolve(name + ".ini");
        Files.writeString(
                settings,
                InstanceSettings.text(name, domain, callersPort, readinessPort, freePort(), storeLink.port()));
        Thread keeper = new Thread(this::keep, "keeper-of-" + name);
        keeper.setDaemon(true);
        keeper.start();
        Thread balancer = new Thread(this::probe, "probe-of-" + name);
        balancer.setDaemon(true);
        balancer.start();
    }

    /** Ends all processes that were started, however this one ends; a paused one is ended too. */
    static void endAll() {
        ending = true;
        RUNNING.forEach(Process::destroyForcibly);
    }

    String name() {
        return name;
    }

    String domain() {
        return domain;
    }

    /** Returns how often the process was started. */
    int starts() {
        return starts;
    }

    /** Returns whether the balancer sends callers here. */
    boolean ready() {
        return ready;
    }

    FaultProxy storeLink() {
        return storeLink;
    }

    FaultProxy callersLink() {
        return callersLink;
    }

    UpstreamLinks upstreamLinks() {
        return upstreamLinks;
    }

    /** Sends a signal by its name, such as {@code TERM}. */
    void signal(String signal) {
        Process now = process;
        if (now != null && now.isAlive()) {
            try {
                new ProcessBuilder("kill", "-" + signal, Long.toString(now.pid()))
                        .start()
                        .waitFor();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    @Override
    public void close() throws InterruptedException {
        closed = true;
        signal("CONT");
        process.destroy();
        if (!process.waitFor(GRACE_SECONDS, TimeUnit.SECONDS)) {
            process.destroyForcibly();
        }
        storeLink.close();
        callersLink.close();
        upstreamLinks.close();
    }

    private void keep() {
        try {
            while (!closed && !ending) {
                ProcessBuilder builder = new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(
                                folder.resolve(name + ".log").toFile()));
                builder.environment().put("CUMINSPUR_SETTINGS", settings.toString());
                starts++;
                process = builder.start();
                RUNNING.add(process);
                process.waitFor();
                RUNNING.remove(process);
                TimeUnit.MILLISECONDS.sleep(RESTART_MS);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Asks once a second, as the platform's balancer does; two misses take the instance out. */
    private void probe() {
        int misses = 0;
        while (!closed) {
            misses = answersReady() ? 0 : misses + 1;
            ready = misses == 0 || (ready && misses < 2);
            try {
                TimeUnit.SECONDS.sleep(1);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private boolean answersReady() {
        try (StandinCaller balancer = new StandinCaller(readinessPort, PROBE_TIMEOUT_MS)) {
            balancer.send("GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n");
            return balancer.readAnswer().status() == OK;
        } catch (IOException e) {
            // An instance that cannot be asked is not ready.
            return false;
        }
    }

    /** Returns a port that no client connection takes by chance before the process listens on it. */
    private static int freePort() {
        while (true) {
            int port = NEXT_PORT.getAndUpdate(last -> last + 1 < LAST_PORT ? last + 1 : FIRST_PORT);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (IOException e) {
                // Another process listens there, so the next one is tried.
                continue;
            }
        }
    }
}
