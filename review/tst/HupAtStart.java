import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Settings files change, and SIGHUP says so, while routers start. */
final class HupAtStart {
    /** Routers whose settings change, half of all. */
    private static final int ROUTERS = 2;

    /** Ends by itself, at each of two machines at least, that count as a fault. */
    private static final int FAULTY_ENDS = 3;

    /** Longest time until a process has logged that it has started. */
    private static final long START_MS = 10_000;

    /** When SIGHUP comes, as a share of the time that a start takes until that line. */
    private static final double SHARE_OF_START = 0.7;

    private static final long OBSERVED_MS = 3_000;

    /** Time after which the platform starts a process again that has ended. */
    private static final long RESTART_MS = 500;

    public static void main(String[] args) throws Exception {
        Harness h = new Harness(args[0]);
        try {
            run(h);
        } catch (IOException | RuntimeException e) {
            h.end(2, "the case could not run: " + e);
        }
    }

    private static void run(Harness h) throws Exception {
        h.config.service("app", false).route("/look/", "idempotent", "app", 2, 3_000).account("account", "key");
        h.publish();
        List<Harness.Router> others = List.of(h.router("router-3", "b"), h.router("router-4", "b"));
        for (Harness.Router other : others) {
            other.start();
        }
        for (Harness.Router other : others) {
            other.awaitReady();
        }
        List<Integer> ends = new ArrayList<>();
        for (int i = 1; i <= ROUTERS; i++) {
            Harness.Router router = h.router("router-" + i, "a");
            ends.add(ends(h, router));
        }
        long faulty = ends.stream().filter(count -> count >= FAULTY_ENDS).count();
        h.end(faulty >= ROUTERS ? 1 : 0, "processes ended by themselves at the machines: " + ends);
    }

    /** Starts a router, and again when it has ended, with a change of its settings each time; returns how often it ended. */
    private static int ends(Harness h, Harness.Router router) throws IOException {
        int ended = 0;
        long startMillis = measureStart(h, router);
        for (int i = 0; i < FAULTY_ENDS; i++) {
            if (!router.alive()) {
                router.start();
            }
            Harness.sleep((long) (SHARE_OF_START * startMillis));
            if (Harness.TROUBLE) {
                router.touchSettings();
                router.signal("HUP");
            }
            if (Harness.await(OBSERVED_MS, () -> !router.alive())) {
                ended++;
                h.record(router.name + " has ended by itself, exit code " + router.process().exitValue());
                Harness.sleep(RESTART_MS);
            } else {
                router.awaitReady();
            }
        }
        router.kill();
        return ended;
    }

    /** Returns the time that a start takes on this machine; the process is ready before it is ended. */
    private static long measureStart(Harness h, Harness.Router router) throws IOException {
        long begin = Harness.now();
        router.start();
        if (!Harness.await(START_MS, () -> hasLoggedItsStart(router))) {
            throw new IOException(router.name + " has not started");
        }
        long millis = Harness.now() - begin;
        if (ignoresHup(router)) {
            throw new IOException("SIGHUP is ignored by whoever runs this script, and so by what it starts");
        }
        h.record(router.name + " logged its start after " + millis + " ms");
        router.awaitReady();
        router.kill();
        if (!Harness.await(START_MS, () -> !router.alive())) {
            throw new IOException(router.name + " does not end");
        }
        return millis;
    }

    private static boolean ignoresHup(Harness.Router router) throws IOException {
        return Files.readAllLines(Path.of("/proc", Long.toString(router.process().pid()), "status")).stream()
                .filter(line -> line.startsWith("SigIgn:"))
                .anyMatch(line -> (Long.parseUnsignedLong(line.substring(7).strip(), 16) & 1) != 0);
    }

    private static boolean hasLoggedItsStart(Harness.Router router) {
        try {
            return Files.readString(router.log()).contains("\"event\":\"started\"");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
